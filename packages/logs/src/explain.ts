/**
 * Rebuilds the history of one id from the logs of any number of hosts: the lines that name it, related lines, and the line that decided its outcome.
 *
 * The logs are read twice. The first pass finds the lines that name the id and the other ids in these lines; the second pass finds the events of
 * those other ids in the same period. Memory use thus grows with the number of relevant lines, not with the size of the logs.
 */
import {createEventPattern, HostClocks, correctTime} from './host-clocks.js';
import type {LogLine} from './line.js';
import {readLines, type LineCounts} from './read-lines.js';

/** Kinds of ids, each named after the key under which log lines have it. If several match, the first one counts. */
const kindKeys = ['request', 'sample', 'batch', 'endpoint', 'host', 'lease', 'model', 'version', 'customer'] as const;

export type SubjectKind = typeof kindKeys[number];

/** Events that decide the outcome for an id, the most decisive first. */
const decisiveEvents: Readonly<Record<SubjectKind, readonly string[]>> = {
	request: ['call_ended', 'stream_broken', 'attempt_failed'],
	sample: ['sample_abandoned', 'result_listed', 'sample_failed', 'text_made', 'run_failed', 'run_broken'],
	batch: ['batch_not_accepted', 'batch_ended', 'share_whole', 'share_taken_over', 'batch_begun'],
	endpoint: ['endpoint_removed', 'endpoint_row_invalid', 'endpoint_registered', 'weights_loaded'],
	host: ['drained', 'draining', 'store_way_lost', 'store_lost', 'started'],
	lease: ['lease_lost', 'lease_taken'],
	model: ['version_published', 'weights_loaded'],
	version: ['configuration_adopted', 'version_published'],
	customer: ['usage_reported', 'call_ended'],
};

/** Events that concern an id through another id in its lines, such as its endpoint, without naming it. */
const relatedEvents: Readonly<Partial<Record<SubjectKind, ReadonlySet<string>>>> = {
	batch: new Set([
		'batch_accepted',
		'batch_not_accepted',
		'batch_begun',
		'batch_ended',
		'batch_not_begun',
		'commit_failed',
		'share_taken_over',
		'share_handed_over',
		'share_whole',
		'hand_over_failed',
		'take_over_failed',
	]),
	endpoint: new Set(['endpoint_removed', 'endpoint_row_invalid', 'endpoint_placed', 'weights_ordered', 'weights_loaded', 'order_unanswered']),
	host: new Set(['started', 'draining', 'drained', 'store_lost', 'store_regained', 'store_way_lost', 'store_way_regained', 'heartbeat_failed', 'commit_failed', 'history_lost']),
};

/** Period before the first and after the last line of an id in which related lines are included, in milliseconds. */
const relatedMarginMs = 1000;

/** Maximum number of lines kept that name the id, and of related lines. */
const maxLines = 5000;

/** One line of a history. `timeMs` is corrected by the host's clock offset. */
export type ExplainedLine = {timeMs: number; host: string; event: string; values: Record<string, string>; isRelated: boolean};

/** The history of an id. */
export type Explanation = {
	id: string;
	/** Kind of the id; undefined if no line names it. */
	kind: SubjectKind | undefined;
	lines: ExplainedLine[];
	/** Index in `lines` of the line that decided the outcome; undefined if there is none yet. */
	decided: number | undefined;
	/** Clock offsets by which the times of hosts were corrected, in milliseconds. */
	offsets: Record<string, number>;
	/** Number of lines left out because there were too many. */
	omitted: number;
	/** Lines read from the logs. */
	count: LineCounts;
};

/** Kinds of the ids under keys that are not named after the kind. */
const aliasKeys: ReadonlyMap<string, SubjectKind> = new Map([
	['to', 'endpoint'], ['peer', 'host'], ['shard', 'lease'], ['versions', 'version'], ['published', 'version'],
]);

/** Returns the kind of the ids under a key; undefined if the key holds no id, so that a count is never treated as an id. */
function findKind(key: string): SubjectKind | undefined {
	return kindKeys.find(kind => kind === key) ?? aliasKeys.get(key);
}

/** Whether a value is the id or a list that contains it. */
function namesId(value: string, id: string): boolean {
	return value === id || (value.includes(id) && value.split(/[\s,]/v).includes(id));
}

/** Returns the kinds under which a line names the id. */
function listKinds({values}: LogLine, id: string): SubjectKind[] {
	return [...values].flatMap(([key, value]) => {
		const kind = namesId(value, id) ? findKind(key) : undefined;
		return kind ? [kind] : [];
	});
}

/** Collects the lines that name an id, and the other ids in them. */
class SubjectLines {
	readonly lines: LogLine[] = [];
	omitted = 0;
	readonly #id: string;
	readonly #kinds = new Set<SubjectKind>();

	constructor(id: string) {
		this.#id = id;
	}

	get kind(): SubjectKind | undefined {
		return kindKeys.find(kind => this.#kinds.has(kind)) ?? (this.lines.some(({host}) => host === this.#id) ? 'host' : undefined);
	}

	add(line: LogLine): void {
		const kinds = listKinds(line, this.#id);
		if (kinds.length === 0 && line.host !== this.#id) {
			return;
		}

		for (const kind of kinds) {
			this.#kinds.add(kind);
		}

		if (this.lines.length < maxLines) {
			this.lines.push(line);
		} else {
			this.omitted += 1;
		}
	}

	/** Returns the ids of a kind in these lines, without the id itself. */
	listNames(kind: SubjectKind): Set<string> {
		const names = this.lines.map(({values, host}) => kind === 'host' ? host : values.get(kind));
		return new Set(names.flatMap(name => name === undefined || name === '' || name === this.#id ? [] : [name]));
	}
}

/** Collects the events of ids that were named together with an id, in the period of its lines. */
class RelatedLines {
	readonly lines: LogLine[] = [];
	omitted = 0;
	readonly #id: string;
	readonly #names: ReadonlyMap<SubjectKind, ReadonlySet<string>>;
	readonly #offsets: ReadonlyMap<string, number>;
	readonly #from: number;
	readonly #to: number;

	/** @param offsets - clock offsets by host, in milliseconds */
	constructor(id: string, subject: SubjectLines, offsets: ReadonlyMap<string, number>) {
		this.#id = id;
		this.#offsets = offsets;
		const kinds: SubjectKind[] = ['batch', 'endpoint', 'host'];
		this.#names = new Map(kinds.map(kind => [kind, subject.listNames(kind)]));
		const times = subject.lines.map(line => correctTime(line, offsets)).toSorted((a, b) => a - b);
		this.#from = times[0]! - relatedMarginMs;
		this.#to = times.at(-1)! + relatedMarginMs;
	}

	add(line: LogLine): void {
		const timeMs = correctTime(line, this.#offsets);
		if (timeMs < this.#from || timeMs > this.#to || !this.#matches(line) || listKinds(line, this.#id).length > 0) {
			return;
		}

		if (this.lines.length < maxLines) {
			this.lines.push(line);
		} else {
			this.omitted += 1;
		}
	}

	#matches({event, host, values}: LogLine): boolean {
		return [...this.#names].some(([kind, names]) => relatedEvents[kind]!.has(event) && names.has(kind === 'host' ? host : values.get(kind) ?? ''));
	}
}

/** Returns the index of the line that decided the outcome: the last line with the most decisive event that occurs. */
function findDecisiveLine(lines: readonly ExplainedLine[], kind: SubjectKind): number | undefined {
	for (const event of decisiveEvents[kind]) {
		const index = lines.findLastIndex(line => !line.isRelated && line.event === event);
		if (index !== -1) {
			return index;
		}
	}

	return undefined;
}

/** Orders lines by time. At equal times related lines come first, since they are more likely the cause. */
function compareLines(a: ExplainedLine, b: ExplainedLine): number {
	return a.timeMs - b.timeMs || Number(b.isRelated) - Number(a.isRelated);
}

/**
 * Rebuilds the history of an id.
 *
 * @param files - log files of any number of hosts
 * @throws {LogFileError}
 */
export async function explainId(id: string, files: readonly string[]): Promise<Explanation> {
	const clocks = new HostClocks();
	const subject = new SubjectLines(id);
	const count = await readLines(files, line => {
		clocks.add(line);
		subject.add(line);
	}, text => text.includes(id) || HostClocks.matches(text));
	const {kind} = subject;
	if (kind === undefined) {
		return {
			id, kind, lines: [], decided: undefined, offsets: {}, omitted: 0, count,
		};
	}

	const offsets = clocks.findOffsets();
	const related = new RelatedLines(id, subject, offsets);
	const relatedPattern = createEventPattern(Object.values(relatedEvents).flatMap(events => [...events]));
	await readLines(files, line => {
		related.add(line);
	}, text => relatedPattern.test(text));
	const toExplained = (isRelated: boolean) => (line: LogLine): ExplainedLine => ({
		timeMs: correctTime(line, offsets), host: line.host, event: line.event, values: Object.fromEntries([...line.values].filter(([key]) => !prefixKeys.has(key))), isRelated,
	});
	const lines = [...subject.lines.map(toExplained(false)), ...related.lines.map(toExplained(true))].toSorted(compareLines);
	return {
		id, kind, lines, decided: findDecisiveLine(lines, kind), offsets: Object.fromEntries(offsets), omitted: subject.omitted + related.omitted, count,
	};
}

/** Keys that every line starts with. */
const prefixKeys: ReadonlySet<string> = new Set(['time', 'level', 'program', 'event']);
