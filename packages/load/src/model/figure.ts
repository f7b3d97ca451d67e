/**
 * A measured value of a pattern from the callers' or trainers' point of view, compared with the baseline.
 */

/** Bound that a figure must satisfy. */
export type Bar = {atLeast: number} | {atMost: number};

export type Figure = {
	pattern: string;
	measure: string;
	real: number;
	/** The baseline's value on the same arrivals; undefined if the measure doesn't apply to the baseline. */
	baseline?: number;
	/** Bound that `real` must satisfy; a figure without a bound is informational. */
	bar?: Bar;
};

/** Whether the real decisions satisfy the bound; true if there is none. */
export function isReached({real, bar}: Figure): boolean {
	if (!bar) {
		return true;
	}

	return 'atLeast' in bar ? real >= bar.atLeast : real <= bar.atMost;
}
