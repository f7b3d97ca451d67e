/**
 * Reads a configuration from YAML (or JSON, which is YAML too) and finds all of its problems with their lines.
 */
import {
	isMap, isNode, isPair, LineCounter, parseDocument, type Document,
} from 'yaml';
import type {z} from 'zod';
import {configurationSchema, type Configuration} from '@wasabiusher/shared';

/** One thing that is wrong. */
export type DocumentProblem = {
	/** Such as `profiles.ranger-query.deadlineMs`; empty for the document itself. */
	path: string;
	/** Counted from 1. */
	line: number;
	column: number;
	message: string;
};

/** Without problems there is a configuration. */
export type DocumentReading = {configuration?: Configuration; problems: DocumentProblem[]};

type Place = Pick<DocumentProblem, 'line' | 'column'>;

/** Finds places in the text of a document. */
class Places {
	readonly #document: Document.Parsed;
	readonly #lines: LineCounter;

	constructor(document: Document.Parsed, lines: LineCounter) {
		this.#document = document;
		this.#lines = lines;
	}

	/** The place of a key, or of the nearest thing around it that is there. */
	locate(path: readonly PropertyKey[]): Place {
		for (let {length} = path; length > 0; length -= 1) {
			const offset = this.#findOffset(path.slice(0, length));
			if (offset !== undefined) {
				return this.at(offset);
			}
		}

		return {line: 1, column: 1};
	}

	at(offset: number): Place {
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

/** Unknown fields are told one by one, each at its own place. */
function listPaths(issue: z.core.$ZodIssue): PropertyKey[][] {
	return issue.code === 'unrecognized_keys' ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
}

/** By kinds of issues whose own message says too little. */
const descriptions = new Map<string, (issue: z.core.$ZodIssue) => string | undefined>([
	['unrecognized_keys', () => 'unknown field'],
	['invalid_key', issue => issue.code === 'invalid_key' ? issue.issues[0]?.message : undefined],
	['invalid_type', ({message}) => message.endsWith('received undefined') ? 'required field is missing' : undefined],
]);

function describeIssue(issue: z.core.$ZodIssue): string {
	return descriptions.get(issue.code)?.(issue) ?? issue.message;
}

function toProblems(issue: z.core.$ZodIssue, places: Places): DocumentProblem[] {
	const message = describeIssue(issue);
	return listPaths(issue).map(path => ({path: path.map(String).join('.'), message, ...places.locate(path)}));
}

/** Reads a document; `problems` lists all that is wrong, in order of lines. */
export function readDocument(text: string): DocumentReading {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines, prettyErrors: false});
	const places = new Places(document, lines);
	if (document.errors.length > 0) {
		const problems = document.errors.map(({message, pos}) => ({path: '', message, ...places.at(pos[0])}));
		return {problems};
	}

	const parsed = configurationSchema.safeParse(document.toJS());
	if (parsed.success) {
		return {configuration: parsed.data, problems: []};
	}

	const problems = parsed.error.issues
		.flatMap(issue => toProblems(issue, places))
		.toSorted((a, b) => a.line - b.line || a.column - b.column);
	return {problems};
}

/** One line a problem, in the form that editors and compilers share. */
export function formatProblem(file: string, {line, column, path, message}: DocumentProblem): string {
	return `${file}:${line}:${column}: ${path === '' ? '' : `${path}: `}${message}`;
}
