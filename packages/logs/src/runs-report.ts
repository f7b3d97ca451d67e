/**
 * The report on runs: who was refused and by what, how long texts waited, which runs moved, and what could not be written.
 */
import {readNumber, type LogLine} from './line.js';

/** Statuses by which an endpoint says that it has not run something. */
const refusedStatuses: ReadonlySet<number> = new Set([421, 429, 503]);

/** How much before its order, and after it is known to have loaded, an endpoint counts as loading, in milliseconds: the lag of reports, and clocks. */
const beforeMs = 20;
const afterMs = 50;

/** Time for which an endpoint counts as loading whose load was not seen to end, in milliseconds. */
const longestLoadMs = 2000;

/** Events up to which a move counts as early: nothing can be known of a text by then. */
const earlyEvents = 5;

/** Quantiles that are told. */
const parts = {p50: 0.5, p90: 0.9, p99: 0.99} as const;

export type Quantiles = Record<keyof typeof parts, number | undefined>;

export type RunsReport = {
	runs: number;
	/** Runs that endpoints have refused, and those of them that met a load by orders in the same logs. */
	refused: number;
	refusedLoading: number;
	texts: number;
	/** Times of texts by what they waited for, and of results until they were written, in milliseconds. */
	waits: Readonly<Record<string, Quantiles>>;
	moves: number;
	earlyMoves: number;
	/** Writes of results that failed, also those that one line counts. */
	failedCommits: number;
	/** Texts made by each host, the most first. */
	hosts: ReadonlyArray<{host: string; texts: number}>;
};

/** Times of a text, by the fields of its line. */
const textFields = ['waitedMs', 'refusedMs', 'begunMs', 'resumedMs', 'brokenMs', 'tookMs'] as const;

/** Times of a result, by the fields of its line. */
const resultFields = ['scoredMs', 'committedMs'] as const;

type Refusal = {endpoint: string; at: number};

/** Gathers what the lines of runs tell. */
export class RunsCount {
	/** When each endpoint was told to load, and when it was known to have, by any host. */
	readonly #ordered = new Map<string, number[]>();
	readonly #loaded = new Map<string, number[]>();
	readonly #refusals: Refusal[] = [];
	readonly #times = new Map<string, number[]>();
	readonly #texts = new Map<string, number>();
	#runs = 0;
	#moves = 0;
	#earlyMoves = 0;
	#failedCommits = 0;

	add(line: LogLine): void {
		handlers.get(line.event)?.(this, line);
	}

	noteRun({timeMs, values}: LogLine, status: number | undefined, tookMs: number): void {
		this.#runs += 1;
		if (status !== undefined && refusedStatuses.has(status)) {
			this.#refusals.push({endpoint: values.get('endpoint') ?? '', at: timeMs - tookMs});
		}
	}

	noteText(line: LogLine): void {
		this.#texts.set(line.host, (this.#texts.get(line.host) ?? 0) + 1);
		this.#noteTimes(line, textFields);
	}

	noteResult(line: LogLine): void {
		this.#noteTimes(line, resultFields);
	}

	noteMove(events: number): void {
		this.#moves += 1;
		this.#earlyMoves += Number(events < earlyEvents);
	}

	noteOrder({timeMs, values}: LogLine): void {
		append(this.#ordered, values.get('endpoint') ?? '', timeMs);
	}

	noteLoaded({timeMs, values}: LogLine): void {
		append(this.#loaded, values.get('endpoint') ?? '', timeMs);
	}

	noteFailedCommits(count: number): void {
		this.#failedCommits += count;
	}

	report(): RunsReport {
		const waits = Object.fromEntries([...textFields, ...resultFields].map(field => [field, findQuantiles(this.#times.get(field) ?? [])]));
		return {
			runs: this.#runs,
			refused: this.#refusals.length,
			refusedLoading: this.#refusals.filter(refusal => this.#isLoading(refusal)).length,
			texts: [...this.#texts.values()].reduce((sum, texts) => sum + texts, 0),
			waits,
			moves: this.#moves,
			earlyMoves: this.#earlyMoves,
			failedCommits: this.#failedCommits,
			hosts: [...this.#texts].map(([host, texts]) => ({host, texts})).toSorted((a, b) => b.texts - a.texts),
		};
	}

	/** Whether an endpoint had been told to load and had not loaded yet. */
	#isLoading({endpoint, at}: Refusal): boolean {
		const loaded = this.#loaded.get(endpoint) ?? [];
		return (this.#ordered.get(endpoint) ?? []).some(from => {
			const ends = loaded.filter(to => to >= from);
			const end = ends.length === 0 ? from + longestLoadMs : Math.min(...ends);
			return at >= from - beforeMs && at <= end + afterMs;
		});
	}

	/** A text's line leaves out what took no time. */
	#noteTimes(line: LogLine, fields: readonly string[]): void {
		for (const field of fields) {
			append(this.#times, field, readNumber(line, field) ?? 0);
		}
	}
}

type Handler = (count: RunsCount, line: LogLine) => void;

const handlers: ReadonlyMap<string, Handler> = new Map<string, Handler>([
	['run_ended', (count, line) => {
		count.noteRun(line, readNumber(line, 'status'), readNumber(line, 'tookMs') ?? 0);
	}],
	['text_made', (count, line) => {
		count.noteText(line);
	}],
	['result_listed', (count, line) => {
		count.noteResult(line);
	}],
	['run_moved', (count, line) => {
		count.noteMove(readNumber(line, 'events') ?? 0);
	}],
	['weights_ordered', (count, line) => {
		count.noteOrder(line);
	}],
	['weights_loaded', (count, line) => {
		count.noteLoaded(line);
	}],
	['commit_failed', (count, line) => {
		// One line stands for all failures since the last one.
		count.noteFailedCommits(readNumber(line, 'times') ?? 1);
	}],
]);

/** Events of the lines that matter. */
export const runEvents: readonly string[] = [...handlers.keys()];

function append(lists: Map<string, number[]>, key: string, value: number): void {
	const list = lists.get(key);
	if (list) {
		list.push(value);
	} else {
		lists.set(key, [value]);
	}
}

function findQuantiles(values: readonly number[]): Quantiles {
	const sorted = values.toSorted((a, b) => a - b);
	const find = (part: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))];
	return {p50: find(parts.p50), p90: find(parts.p90), p99: find(parts.p99)};
}
