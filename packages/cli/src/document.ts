/**
 * Reads a configuration from YAML (or JSON, which is valid YAML) and reports all problems with their lines.
 */
import {
	isMap, isNode, isPair, LineCounter, parseDocument, type Document,
} from 'yaml';
import type {z} from 'zod';
import {configurationSchema, type Configuration} from '@wasabiusher/shared';

/** One problem of a document. */
export type DocumentProblem = {
	/** Path of the field, such as `profiles.ranger-query.deadlineMs`; empty for the document itself. */
	path: string;
	/** Counted from 1. */
	line: number;
	column: number;
	message: string;
};

/** `configuration` is present exactly if there are no problems. */
export type DocumentResult = {configuration?: Configuration; problems: DocumentProblem[]};

type Position = Pick<DocumentProblem, 'line' | 'column'>;

/** Finds the lines and columns of fields in the text of a document. */
class PositionFinder {
	readonly #document: Document.Parsed;
	readonly #lines: LineCounter;

	constructor(document: Document.Parsed, lines: LineCounter) {
		this.#document = document;
		this.#lines = lines;
	}

	/** Returns the position of a field, or of its nearest ancestor that the document contains. */
	locate(path: readonly PropertyKey[]): Position {
		for (let {length} = path; length > 0; length -= 1) {
			const offset = this.#findOffset(path.slice(0, length));
			if (offset !== undefined) {
				return this.at(offset);
			}
		}

		return {line: 1, column: 1};
	}

	at(offset: number): Position {
		const {line, col} = this.#lines.linePos(offset);
		return {line, column: col};
	}

	#findOffset(path: readonly PropertyKey[]): number | undefined {
		const parent: unknown = path.length === 1 ? this.#document.contents : this.#document.getIn(path.slice(0, -1), true);
		if (isMap(parent)) {
			const pair = parent.items.find(item => isPair(item) && String(item.key) === String(path.at(-1)));
			return isNode(pair?.key) ? pair.key.range?.[0] : undefined;
		}

		const node = this.#document.getIn(path, true);
		return isNode(node) ? node.range?.[0] : undefined;
	}
}

/** Returns the paths of an issue. Unknown fields are reported separately, each at its own position. */
function listPaths(issue: z.core.$ZodIssue): PropertyKey[][] {
	return issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
}

/** Descriptions by code, for issues whose own message is not specific enough. */
const descriptions = new Map<string, (issue: z.core.$ZodIssue) => string | undefined>([
	['unrecognized_keys', () => 'unknown field'],
	['invalid_key', issue => issue.code === 'invalid_key' ? issue.issues[0]?.message : undefined],
	['invalid_type', ({message}) => message.endsWith('received undefined') ? 'required field is missing' : undefined],
]);

function describeIssue(issue: z.core.$ZodIssue): string {
	return descriptions.get(issue.code)?.(issue) ?? issue.message;
}

function toProblems(issue: z.core.$ZodIssue, positions: PositionFinder): DocumentProblem[] {
	const message = describeIssue(issue);
	return listPaths(issue).map(path => ({path: path.map(String).join('.'), message, ...positions.locate(path)}));
}

/** Reads a document. `problems` lists all problems in order of their positions. */
export function readDocument(text: string): DocumentResult {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	const positions = new PositionFinder(document, lines);
	if (document.errors.length > 0) {
		const problems = document.errors.map(({message, pos}) => ({path: '', message, ...positions.at(pos[0])}));
		return {problems};
	}

	const parsed = configurationSchema.safeParse(document.toJS());
	if (parsed.success) {
		return {configuration: parsed.data, problems: []};
	}

	const problems = parsed.error.issues
		.flatMap(issue => toProblems(issue, positions))
		.toSorted((a, b) => a.line - b.line || a.column - b.column);
	return {problems};
}

/** Formats a problem as one line, in the format that compilers use and editors recognise. */
export function formatProblem(file: string, {line, column, path, message}: DocumentProblem): string {
	return `${file}:${line}:${column}: ${path === '' ? '' : `${path}: `}${message}`;
}
