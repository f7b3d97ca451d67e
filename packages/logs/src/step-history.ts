/**
 * Rebuilds the history of each step from log lines: when it was requested, how each text was generated and its result listed, and when it ended.
 */
import {readNumber, type LogLine} from './line.js';

/** Time of a generation by phase, in milliseconds, as the `direct` package measures it. Each phase is a log field with the suffix `Ms`. */
export type PhaseTimes = {
	waited: number;
	refused: number;
	begun: number;
	resumed: number;
	made: number;
	stalled: number;
	broken: number;
};

/** How a text was generated; members are named after the log fields. */
export type GenerationHistory = {
	endpoint: string;
	/** In milliseconds since the epoch. */
	completedAt: number;
	events: number;
	/** Events that earlier owners or steps generated, and that were retained. */
	kept: number;
	runs: number;
	tookMs: number;
	phases: PhaseTimes;
};

/** When a sample's result was listed, and its position in the results; members are named after the log fields. */
export type ListedHistory = {listedAt: number; position: number; share: number; group: string; events: number; scoredMs: number; committedMs: number};

/** When the first owner of a share began it (`begunAt`), and when its last owner did (`ownedAt`). */
export type ShareHistory = {begunAt: number; ownedAt: number};

/** One step. Times are in milliseconds since the epoch, on the clock of the host that ran it. */
export type StepHistory = {
	batch: string;
	/** Name of the trainer, which all of its steps share. */
	series: string;
	step: number;
	model: string;
	askedAt: number;
	/** Shares by their number. */
	shares: Map<number, ShareHistory>;
	/** Number of owners over all shares, whether in succession or at the same time. */
	owners: number;
	total: number;
	wanted: number;
	groups: number;
	endedAt: number | undefined;
	generations: Map<string, GenerationHistory>;
	listed: Map<string, ListedHistory>;
	/** Reads of the results by the trainer; `endPosition` is the position after the last result read. */
	reads: Array<{readAt: number; endPosition: number}>;
};

/** A run at an endpoint, or a load of weights there; times in milliseconds since the epoch. */
export type EndpointUse = {endpoint: string; model: string; from: number; to: number};

/** Collects the histories of steps from log lines. Lines of unrelated events are ignored. */
export class StepHistories {
	readonly steps = new Map<string, StepHistory>();
	readonly runs: EndpointUse[] = [];
	readonly loads: EndpointUse[] = [];

	add(line: LogLine): void {
		handlers.get(line.event)?.(this, line);
	}

	/** Returns the steps in the order in which they were requested. */
	list(): StepHistory[] {
		return [...this.steps.values()].toSorted((a, b) => a.askedAt - b.askedAt);
	}
}

function readString({values}: LogLine, key: string): string {
	return values.get(key) ?? '';
}

function findStep(histories: StepHistories, line: LogLine): StepHistory | undefined {
	return histories.steps.get(readString(line, 'batch'));
}

function recordBegin({steps}: StepHistories, line: LogLine): void {
	const batch = readString(line, 'batch');
	const known = steps.get(batch);
	const share = readNumber(line, 'share') ?? 0;
	const shares = known?.shares ?? new Map<number, ShareHistory>();
	shares.set(share, {begunAt: shares.get(share)?.begunAt ?? line.timeMs, ownedAt: line.timeMs});
	const begun: StepHistory = {
		batch,
		series: readString(line, 'series'),
		step: readNumber(line, 'step') ?? Number.NaN,
		model: readString(line, 'model'),
		askedAt: known?.askedAt ?? line.timeMs - (readNumber(line, 'ageMs') ?? 0),
		shares,
		owners: (known?.owners ?? 0) + 1,
		total: readNumber(line, 'total') ?? 0,
		wanted: readNumber(line, 'wanted') ?? 0,
		groups: readNumber(line, 'groups') ?? 0,
		endedAt: known?.endedAt,
		generations: known?.generations ?? new Map<string, GenerationHistory>(),
		listed: known?.listed ?? new Map<string, ListedHistory>(),
		reads: known?.reads ?? [],
	};
	steps.set(batch, begun);
}

function readPhases(line: LogLine): PhaseTimes {
	const read = (phase: keyof PhaseTimes) => readNumber(line, `${phase}Ms`) ?? 0;
	return {
		waited: read('waited'), refused: read('refused'), begun: read('begun'), resumed: read('resumed'), made: read('made'), stalled: read('stalled'), broken: read('broken'),
	};
}

function recordGeneration(histories: StepHistories, line: LogLine): void {
	const step = findStep(histories, line);
	const sample = readString(line, 'sample');
	// Ignores regenerations for a later step and generations that completed after the result was listed: neither affects this step's time.
	if (!step || step.listed.has(sample) || line.timeMs - (readNumber(line, 'tookMs') ?? 0) < step.askedAt) {
		return;
	}

	step.generations.set(sample, {
		endpoint: readString(line, 'endpoint'),
		completedAt: line.timeMs,
		events: readNumber(line, 'events') ?? 0,
		kept: readNumber(line, 'kept') ?? 0,
		runs: readNumber(line, 'runs') ?? 0,
		tookMs: readNumber(line, 'tookMs') ?? 0,
		phases: readPhases(line),
	});
}

function recordListed(histories: StepHistories, line: LogLine): void {
	const sample = readString(line, 'sample');
	findStep(histories, line)?.listed.set(sample, {
		listedAt: line.timeMs,
		position: readNumber(line, 'position') ?? 0,
		share: readNumber(line, 'share') ?? 0,
		group: line.values.get('group') ?? sample,
		events: readNumber(line, 'events') ?? 0,
		scoredMs: readNumber(line, 'scoredMs') ?? 0,
		committedMs: readNumber(line, 'committedMs') ?? 0,
	});
}

function recordUse(uses: EndpointUse[], line: LogLine, durationField: string): void {
	uses.push({
		endpoint: readString(line, 'endpoint'), model: readString(line, 'model'), from: line.timeMs - (readNumber(line, durationField) ?? 0), to: line.timeMs,
	});
}

type LineHandler = (histories: StepHistories, line: LogLine) => void;

const handlers: ReadonlyMap<string, LineHandler> = new Map<string, LineHandler>([
	['batch_begun', recordBegin],
	['text_made', recordGeneration],
	['result_listed', recordListed],
	['results_read', (histories, line) => {
		findStep(histories, line)?.reads.push({readAt: line.timeMs, endPosition: (readNumber(line, 'after') ?? 0) + (readNumber(line, 'results') ?? 0)});
	}],
	['batch_ended', (histories, line) => {
		const step = findStep(histories, line);
		if (step) {
			step.endedAt ??= line.timeMs;
		}
	}],
	['run_ended', (histories, line) => {
		if (line.values.get('status') === '200') {
			recordUse(histories.runs, line, 'tookMs');
		}
	}],
	['weights_loaded', (histories, line) => {
		recordUse(histories.loads, line, 'elapsedMs');
	}],
]);

/** Events that the histories are built from. Lines of other events need not be parsed. */
export const stepEvents: readonly string[] = [...handlers.keys()];
