/**
 * A figure of a pattern: what callers or trainers received, beside the baseline.
 */

/** What a figure must reach. */
export type Bar = {atLeast: number} | {atMost: number};

export type Figure = {
	pattern: string;
	measure: string;
	real: number;
	/** On the same arrivals; undefined where the baseline has no such figure. */
	baseline?: number;
	/** What it must reach; a figure without one is shown only. */
	bar?: Bar;
};

/** Whether the real decisions reach the bar; true if there is none. */
export function isReached({real, bar}: Figure): boolean {
	if (!bar) {
		return true;
	}

	return 'atLeast' in bar ? real >= bar.atLeast : real <= bar.atMost;
}
