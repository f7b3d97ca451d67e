/**
 * The history of one id from the logs of any number of hosts: its own lines, what concerned it besides, and the line that decided.
 *
 * Two readings: the first finds the lines that name the id and what they name with it, the second what happened to these meanwhile. So memory grows
 * with what is told of the id, not with the logs.
 */
import {createEventPattern, HostClocks, putRight} from './host-clocks.js';
import type {LogLine} from './line.js';
import {readLines, type ReadingCount} from './read-lines.js';

/** What an id may name, by the key under which lines tell it; the first that fits counts. */
const kindKeys = ['request', 'sample', 'batch', 'endpoint', 'host', 'lease', 'model', 'version', 'customer'] as const;

export type SubjectKind = typeof kindKeys[number];

/** Lines that decide what becomes of a subject, the most decisive first. */
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

/** What concerns a subject that was named together with it, though it does not name the subject. */
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

/** Time before the first and after the last line of a subject in which related lines count, in milliseconds. */
const marginMs = 1000;

/** Most lines kept of either sort. */
const mostLines = 5000;

/** One line of a history; `timeMs` is on the middle of the hosts' clocks. */
export type ExplainedLine = {timeMs: number; host: string; event: string; values: Record<string, string>; isRelated: boolean};

/** The history of an id. */
export type Explanation = {
	id: string;
	/** Under which key lines name it; undefined if none does, so that nothing was found. */
	kind: SubjectKind | undefined;
	lines: ExplainedLine[];
	/** Place of the line that decided, among `lines`; undefined if none does yet. */
	decided: number | undefined;
	/** How far clocks of hosts were put right, in milliseconds. */
	offsets: Record<string, number>;
	/** Lines left out beyond the bound. */
	omitted: number;
	/** What the logs hold altogether. */
	count: ReadingCount;
};

/** Other keys under which lines name something, and its kind. */
const otherKeys: ReadonlyMap<string, SubjectKind> = new Map([
	['to', 'endpoint'], ['peer', 'host'], ['shard', 'lease'], ['versions', 'version'], ['published', 'version'],
]);

/** The kind of what lines name under a key; undefined if the key names nothing, so that a count is never taken for an id. */
function findKind(key: string): SubjectKind | undefined {
	return kindKeys.find(kind => kind === key) ?? otherKeys.get(key);
}

/** Whether a value names the id, alone or in a list. */
function namesId(value: string, id: string): boolean {
	return value === id || (value.includes(id) && value.split(/[\s,]/v).includes(id));
}

/** Kinds under which a line names the id. */
function listKinds({values}: LogLine, id: string): SubjectKind[] {
	return [...values].flatMap(([key, value]) => {
		const kind = namesId(value, id) ? findKind(key) : undefined;
		return kind ? [kind] : [];
	});
}

/** Lines that name an id, and what these name besides. */
class Subject {
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

		if (this.lines.length < mostLines) {
			this.lines.push(line);
		} else {
			this.omitted += 1;
		}
	}

	/** Names of a kind in its lines, other than its own. */
	listNames(kind: SubjectKind): Set<string> {
		const names = this.lines.map(({values, host}) => kind === 'host' ? host : values.get(kind));
		return new Set(names.flatMap(name => name === undefined || name === '' || name === this.#id ? [] : [name]));
	}
}

/** What happened meanwhile to whatever was named with a subject. */
class Surroundings {
	readonly lines: LogLine[] = [];
	omitted = 0;
	readonly #id: string;
	readonly #names: ReadonlyMap<SubjectKind, ReadonlySet<string>>;
	readonly #offsets: ReadonlyMap<string, number>;
	readonly #from: number;
	readonly #to: number;

	/** @param offsets - of hosts' clocks, in milliseconds */
	constructor(id: string, subject: Subject, offsets: ReadonlyMap<string, number>) {
		this.#id = id;
		this.#offsets = offsets;
		const kinds: SubjectKind[] = ['batch', 'endpoint', 'host'];
		this.#names = new Map(kinds.map(kind => [kind, subject.listNames(kind)]));
		const times = subject.lines.map(line => putRight(line, offsets)).toSorted((a, b) => a - b);
		this.#from = times[0]! - marginMs;
		this.#to = times.at(-1)! + marginMs;
	}

	add(line: LogLine): void {
		const timeMs = putRight(line, this.#offsets);
		if (timeMs < this.#from || timeMs > this.#to || !this.#concerns(line) || listKinds(line, this.#id).length > 0) {
			return;
		}

		if (this.lines.length < mostLines) {
			this.lines.push(line);
		} else {
			this.omitted += 1;
		}
	}

	#concerns({event, host, values}: LogLine): boolean {
		return [...this.#names].some(([kind, names]) => relatedEvents[kind]!.has(event) && names.has(kind === 'host' ? host : values.get(kind) ?? ''));
	}
}

/** Place of the line that decided: the last one of the most decisive event that there is. */
function findDecided(lines: readonly ExplainedLine[], kind: SubjectKind): number | undefined {
	for (const event of decisiveEvents[kind]) {
		const place = lines.findLastIndex(line => !line.isRelated && line.event === event);
		if (place !== -1) {
			return place;
		}
	}

	return undefined;
}

/** Causes before their effects at one moment: what comes first of lines that clocks can't order. */
function compareLines(a: ExplainedLine, b: ExplainedLine): number {
	return a.timeMs - b.timeMs || Number(b.isRelated) - Number(a.isRelated);
}

/**
 * Rebuilds the history of an id.
 *
 * @param files - logs of any number of hosts
 * @throws {LogFileError}
 */
export async function explainId(id: string, files: readonly string[]): Promise<Explanation> {
	const clocks = new HostClocks();
	const subject = new Subject(id);
	const count = await readLines(files, line => {
		clocks.add(line);
		subject.add(line);
	}, text => text.includes(id) || HostClocks.concerns(text));
	const {kind} = subject;
	if (kind === undefined) {
		return {
			id, kind, lines: [], decided: undefined, offsets: {}, omitted: 0, count,
		};
	}

	const offsets = clocks.findOffsets();
	const surroundings = new Surroundings(id, subject, offsets);
	const mark = createEventPattern(Object.values(relatedEvents).flatMap(events => [...events]));
	await readLines(files, line => {
		surroundings.add(line);
	}, text => mark.test(text));
	const toExplained = (isRelated: boolean) => (line: LogLine): ExplainedLine => ({
		timeMs: putRight(line, offsets), host: line.host, event: line.event, values: Object.fromEntries([...line.values].filter(([key]) => !leadKeys.has(key))), isRelated,
	});
	const lines = [...subject.lines.map(toExplained(false)), ...surroundings.lines.map(toExplained(true))].toSorted(compareLines);
	return {
		id, kind, lines, decided: findDecided(lines, kind), offsets: Object.fromEntries(offsets), omitted: subject.omitted + surroundings.omitted, count,
	};
}

/** Values that each line begins with. */
const leadKeys: ReadonlySet<string> = new Set(['time', 'level', 'program', 'event']);
