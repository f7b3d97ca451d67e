/**
 * The experiment: every pattern with the real decisions and with the baseline, on the same arrivals.
 */
import {callPatterns} from './call-patterns.js';
import type {Figure} from './figure.js';
import {placementPatterns} from './placement-patterns.js';
import {stepPatterns} from './step-patterns.js';
import {weightPatterns} from './weight-patterns.js';

/** All patterns by name. */
export const patterns: Readonly<Record<string, (seed: number) => Figure[]>> = {
	...callPatterns, ...stepPatterns, ...weightPatterns, ...placementPatterns,
};

/**
 * Runs some patterns, or all.
 *
 * @param names - of `patterns`
 * @param seed - the same seed gives the same figures
 * @throws RangeError if there is no such pattern
 */
export function runExperiment(names: readonly string[] = Object.keys(patterns), seed = 1): Figure[] {
	return names.flatMap(name => {
		const run = patterns[name];
		if (!run) {
			throw new RangeError(`there is no pattern "${name}"; known are ${Object.keys(patterns).join(', ')}`);
		}

		return run(seed);
	});
}
