/**
 * Computes how fast the error budget of an objective burns.
 *
 * Load pattern: one fault spends a month's budget in an hour, another leaks it over days. With one window and one threshold, either the first is
 * reported late or the second alerts on every short disturbance.
 *
 * Uses multi-window, multi-burn-rate alerts (Beyer et al., The Site Reliability Workbook, 2018, chapter 5): a long window shows that a relevant part of
 * the budget was spent, a short one that it is still burning. The workbook's third alert covers three days; a process here has a shorter lifetime and
 * stores nothing, so that alert is left to the operators' own metrics store.
 */

/** Windows over which events are counted, with their length in milliseconds. */
export const burnWindows = {
	fiveMinutes: 300_000, halfHour: 1_800_000, oneHour: 3_600_000, sixHours: 21_600_000,
} as const;

export type BurnWindow = keyof typeof burnWindows;

/** Window names, from the shortest to the longest. */
export const burnWindowNames: readonly BurnWindow[] = ['fiveMinutes', 'halfHour', 'oneHour', 'sixHours'];

/** Window for which the remaining budget is reported. */
export const budgetWindow: BurnWindow = 'sixHours';

/** Alerts from the most to the least urgent, with the workbook's rates: 14.4 spends 2% of a 30-day budget in an hour, 6 spends 5% in six hours. */
export const burnAlerts = [
	{
		name: 'fast', long: 'oneHour', short: 'fiveMinutes', rate: 14.4,
	},
	{
		name: 'slow', long: 'sixHours', short: 'halfHour', rate: 6,
	},
] as const;

export type BurnAlert = (typeof burnAlerts)[number]['name'];

/** Width of a bucket, in milliseconds; a fifth of the shortest window. */
const bucketMs = 60_000;

/** Minimum number of bad events for an alert: one event is no trend, however few requests there are. */
const minBadEvents = 2;

/** Events counted in a window. */
export type WindowCounts = {
	good: number;
	total: number;
	/** Observed part of the window, in milliseconds; less than the window after a start. */
	coveredMs: number;
};

export type BurnCounts = Readonly<Record<BurnWindow, WindowCounts>>;

type Bucket = {index: number; good: number; total: number};

/** Creates a value for each window. */
export function mapBurnWindows<Value>(create: (window: BurnWindow) => Value): Record<BurnWindow, Value> {
	return {
		fiveMinutes: create('fiveMinutes'), halfHour: create('halfHour'), oneHour: create('oneHour'), sixHours: create('sixHours'),
	};
}

/** Counts the events of one objective in one process, with memory bounded by the longest window. */
export class ObjectiveCounts {
	readonly #startedAt: number;
	#buckets: Bucket[] = [];

	/** @param now - on the monotonic clock, in milliseconds */
	constructor(now: number) {
		this.#startedAt = now;
	}

	/** @param weight - number of events to record, such as milliseconds of a trainer's time */
	record(isGood: boolean, now: number, weight = 1): void {
		const bucket = this.#findBucket(now);
		bucket.total += weight;
		bucket.good += isGood ? weight : 0;
	}

	countOver(window: BurnWindow, now: number): WindowCounts {
		const windowMs = burnWindows[window];
		const first = Math.floor((now - windowMs) / bucketMs) + 1;
		const counts = {good: 0, total: 0, coveredMs: Math.min(windowMs, now - this.#startedAt)};
		for (const {index, good, total} of this.#buckets) {
			if (index >= first) {
				counts.good += good;
				counts.total += total;
			}
		}

		return counts;
	}

	#findBucket(now: number): Bucket {
		const index = Math.floor(now / bucketMs);
		const last = this.#buckets.at(-1);
		if (last?.index === index) {
			return last;
		}

		const oldest = index - (burnWindows[budgetWindow] / bucketMs);
		const bucket = {index, good: 0, total: 0};
		this.#buckets = [...this.#buckets.filter(kept => kept.index >= oldest), bucket];
		return bucket;
	}
}

/** Adds up the counts of several processes; the shortest observed time applies to the sum. */
export function addWindowCounts(counts: readonly WindowCounts[]): WindowCounts {
	return {
		good: counts.reduce((sum, {good}) => sum + good, 0),
		total: counts.reduce((sum, {total}) => sum + total, 0),
		coveredMs: counts.length === 0 ? 0 : Math.min(...counts.map(({coveredMs}) => coveredMs)),
	};
}

export type BurnJudgement = {
	/** Burn rate: multiple of the rate that spends exactly the budget; undefined without events. */
	rates: Readonly<Record<BurnWindow, number | undefined>>;
	/** Remaining fraction of the budget of `budgetWindow`; negative when overspent, undefined without events. */
	budgetLeft: number | undefined;
	alerts: BurnAlert[];
	/** Windows without any event. */
	empty: BurnWindow[];
	/** Windows that some process did not observe completely. */
	partial: BurnWindow[];
};

function findBurnRate({good, total}: WindowCounts, target: number): number | undefined {
	return total === 0 ? undefined : (1 - (good / total)) / (1 - target);
}

/**
 * Computes the burn rates, the remaining budget and the alerts of an objective.
 *
 * @param target - fraction of events that must be good, in (0, 1)
 */
export function judgeBurn(target: number, counts: BurnCounts): BurnJudgement {
	const rates = mapBurnWindows(window => findBurnRate(counts[window], target));
	const budgetRate = rates[budgetWindow];
	return {
		rates,
		budgetLeft: budgetRate === undefined ? undefined : 1 - budgetRate,
		alerts: burnAlerts
			.filter(({long, short, rate}) => [long, short].every(window => (rates[window] ?? 0) >= rate && countBad(counts[window]) >= minBadEvents))
			.map(({name}) => name),
		empty: burnWindowNames.filter(window => counts[window].total === 0),
		partial: burnWindowNames.filter(window => counts[window].coveredMs < burnWindows[window]),
	};
}

function countBad({good, total}: WindowCounts): number {
	return total - good;
}
