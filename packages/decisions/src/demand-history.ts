/**
 * Tracks the demand of each model for placement.
 *
 * Load pattern: demand comes in bursts and alternations as well as in lasting shifts. Without distinguishing them, engines load weights for work that is
 * gone when they are ready.
 */
import {defaultLastsMs, type Demand} from './placement.js';

/**
 * Time constants of two moving averages, in milliseconds. Demand is the minimum of both: a burst shows in the fast one only, demand that has ended in
 * the slow one only.
 */
const fastTimeConstantMs = 5000;
const slowTimeConstantMs = 20_000;

/** Time constant of the baseline, relative to which demand is high or low, in milliseconds. */
const baselineTimeConstantMs = 300_000;

/** Number of endpoints above or below the baseline from which demand counts as high or low, so that noise does not end a period. */
const runMargin = 0.5;

/** Maximum expected duration of demand, in milliseconds. */
const maxLastsMs = 300_000;

/** Weight of the newest period in the mean duration of high and low periods. */
const runSmoothingWeight = 0.5;

type Trace = {
	at: number;
	fast: number;
	slow: number;
	baseline: number;
	interactive: number;
	isHigh: boolean;
	/** Start of the present high or low period. */
	since: number;
	lastsMs: number;
};

/** Tracks the demand of each model, and how long it stays high or low. */
export class DemandHistory {
	readonly #traces = new Map<string, Trace>();

	/** Records a measurement, in endpoints: work that is served and that waits. */
	record({name, total, interactive}: Demand, now: number): void {
		const trace = this.#traces.get(name);
		if (!trace) {
			this.#traces.set(name, {
				at: now, fast: total, slow: total, baseline: total, interactive, isHigh: false, since: now, lastsMs: defaultLastsMs,
			});
			return;
		}

		const elapsedMs = now - trace.at;
		trace.at = now;
		trace.fast = smooth(trace.fast, total, elapsedMs / fastTimeConstantMs);
		trace.slow = smooth(trace.slow, total, elapsedMs / slowTimeConstantMs);
		trace.baseline = smooth(trace.baseline, total, elapsedMs / baselineTimeConstantMs);
		trace.interactive = smooth(trace.interactive, interactive, elapsedMs / slowTimeConstantMs);
		updateRun(trace, now);
	}

	/** Returns the present demand of each model. */
	list(): Demand[] {
		return [...this.#traces].map(([name, {at, fast, slow, interactive, since, lastsMs}]) => ({
			// Demand that has already lasted long is likely to continue.
			name, total: Math.min(fast, slow), peak: Math.max(fast, slow), interactive, lastsMs: Math.min(maxLastsMs, Math.max(lastsMs, at - since)),
		}));
	}
}

function smooth(from: number, to: number, timeConstants: number): number {
	return from + ((1 - Math.exp(-timeConstants)) * (to - from));
}

function updateRun(trace: Trace, now: number): void {
	const difference = trace.fast - trace.baseline;
	const hasTurned = trace.isHigh ? difference < -runMargin : difference > runMargin;
	if (hasTurned) {
		trace.lastsMs += runSmoothingWeight * (now - trace.since - trace.lastsMs);
		trace.isHigh = !trace.isHigh;
		trace.since = now;
	}
}
