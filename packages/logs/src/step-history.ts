/**
 * What the logs tell of each step: when it was asked, how each text was made and listed, when it ended.
 */
import {readNumber, type LogLine} from './line.js';

/** Times of a text by phase, in milliseconds; `direct` counts them. */
export type PhaseTimes = {
	waited: number;
	refused: number;
	begun: number;
	resumed: number;
	made: number;
	stalled: number;
	broken: number;
};

/** How a text became whole. */
export type TextHistory = {
	endpoint: string;
	wholeAt: number;
	events: number;
	/** Events that were there before. */
	kept: number;
	runs: number;
	tookMs: number;
	phases: PhaseTimes;
};

/** How a sample's result was listed. */
export type ListedHistory = {listedAt: number; position: number; share: number; group: string; events: number; scoredMs: number; committedMs: number};

/** When the first owner of a share began it, and its last one. */
export type ShareHistory = {begunAt: number; ownedAt: number};

/** One step; times in milliseconds since 1970 on the clock of the host that ran it. */
export type StepHistory = {
	batch: string;
	/** What steps of one trainer have in common. */
	series: string;
	step: number;
	model: string;
	askedAt: number;
	/** By the share's number. */
	shares: Map<number, ShareHistory>;
	/** Owners of all shares, one after the other or side by side. */
	owners: number;
	total: number;
	wanted: number;
	groups: number;
	endedAt: number | undefined;
	texts: Map<string, TextHistory>;
	listed: Map<string, ListedHistory>;
	reads: Array<{readAt: number; beyond: number}>;
};

/** A run at an endpoint, or the load of weights there. */
export type EndpointUse = {endpoint: string; model: string; from: number; to: number};

/** Gathers lines; those of other events are ignored. */
export class StepHistories {
	readonly steps = new Map<string, StepHistory>();
	readonly runs: EndpointUse[] = [];
	readonly loads: EndpointUse[] = [];

	add(line: LogLine): void {
		handlers.get(line.event)?.(this, line);
	}

	/** Steps in the order in which they were asked. */
	list(): StepHistory[] {
		return [...this.steps.values()].toSorted((a, b) => a.askedAt - b.askedAt);
	}
}

function readText({values}: LogLine, key: string): string {
	return values.get(key) ?? '';
}

function findStep(histories: StepHistories, line: LogLine): StepHistory | undefined {
	return histories.steps.get(readText(line, 'batch'));
}

function noteBegun({steps}: StepHistories, line: LogLine): void {
	const batch = readText(line, 'batch');
	const known = steps.get(batch);
	const share = readNumber(line, 'share') ?? 0;
	const shares = known?.shares ?? new Map<number, ShareHistory>();
	shares.set(share, {begunAt: shares.get(share)?.begunAt ?? line.timeMs, ownedAt: line.timeMs});
	const begun: StepHistory = {
		batch,
		series: readText(line, 'series'),
		step: readNumber(line, 'step') ?? Number.NaN,
		model: readText(line, 'model'),
		askedAt: known?.askedAt ?? line.timeMs - (readNumber(line, 'ageMs') ?? 0),
		shares,
		owners: (known?.owners ?? 0) + 1,
		total: readNumber(line, 'total') ?? 0,
		wanted: readNumber(line, 'wanted') ?? 0,
		groups: readNumber(line, 'groups') ?? 0,
		endedAt: known?.endedAt,
		texts: known?.texts ?? new Map<string, TextHistory>(),
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

function noteText(histories: StepHistories, line: LogLine): void {
	const step = findStep(histories, line);
	const sample = readText(line, 'sample');
	// A second text for a later step, or one that came after the result, decides nothing here.
	if (!step || step.listed.has(sample) || line.timeMs - (readNumber(line, 'tookMs') ?? 0) < step.askedAt) {
		return;
	}

	step.texts.set(sample, {
		endpoint: readText(line, 'endpoint'),
		wholeAt: line.timeMs,
		events: readNumber(line, 'events') ?? 0,
		kept: readNumber(line, 'kept') ?? 0,
		runs: readNumber(line, 'runs') ?? 0,
		tookMs: readNumber(line, 'tookMs') ?? 0,
		phases: readPhases(line),
	});
}

function noteListed(histories: StepHistories, line: LogLine): void {
	const sample = readText(line, 'sample');
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

function noteUse(uses: EndpointUse[], line: LogLine, lasted: string): void {
	uses.push({
		endpoint: readText(line, 'endpoint'), model: readText(line, 'model'), from: line.timeMs - (readNumber(line, lasted) ?? 0), to: line.timeMs,
	});
}

type Handler = (histories: StepHistories, line: LogLine) => void;

const handlers: ReadonlyMap<string, Handler> = new Map<string, Handler>([
	['batch_begun', noteBegun],
	['text_made', noteText],
	['result_listed', noteListed],
	['results_read', (histories, line) => {
		findStep(histories, line)?.reads.push({readAt: line.timeMs, beyond: (readNumber(line, 'after') ?? 0) + (readNumber(line, 'results') ?? 0)});
	}],
	['batch_ended', (histories, line) => {
		const step = findStep(histories, line);
		if (step) {
			step.endedAt ??= line.timeMs;
		}
	}],
	['run_ended', (histories, line) => {
		if (line.values.get('status') === '200') {
			noteUse(histories.runs, line, 'tookMs');
		}
	}],
	['weights_loaded', (histories, line) => {
		noteUse(histories.loads, line, 'elapsedMs');
	}],
]);

/** Events that the histories are made of; other lines need not be taken apart. */
export const stepEvents: readonly string[] = [...handlers.keys()];
