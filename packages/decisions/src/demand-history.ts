/**
 * Follows the demand of each model, for placement.
 *
 * Load pattern: demand comes in bursts and by turns as well as in lasting moves. Without telling them apart engines
 * load weights for work that is gone when they are ready.
 */
import {defaultLastsMs, type Demand} from './placement.js';

/**
 * Times in which a measurement mostly replaces those before, in milliseconds. Demand is what both say: a burst
 * shows in the fast one only, a demand that has gone in the slow one only.
 */
const fastTimeConstantMs = 5000;
const slowTimeConstantMs = 20_000;

/** The same for what is usual, against which a demand is high or low. */
const baselineTimeConstantMs = 300_000;

/** Endpoints over or under the usual before demand counts as high or low, so that noise ends no run of it. */
const runMargin = 0.5;

/** Longest time that demand is expected to last, in milliseconds. */
const maxLastsMs = 300_000;

/** Weight of the newest run in how long they usually last. */
const runSmoothingWeight = 0.5;

type Trace = {
	at: number;
	fast: number;
	slow: number;
	baseline: number;
	interactive: number;
	isHigh: boolean;
	/** When it became high or low. */
	since: number;
	lastsMs: number;
};

/** Follows the demand of each model, and for how long it stays high or low. */
export class DemandHistory {
	readonly #traces = new Map<string, Trace>();

	/** Takes a measurement in endpoints: what is served and what waits. */
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

	/** Demand of each model now. */
	list(): Demand[] {
		return [...this.#traces].map(([name, {at, fast, slow, interactive, since, lastsMs}]) => ({
			// What has already lasted long will likely go on.
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
