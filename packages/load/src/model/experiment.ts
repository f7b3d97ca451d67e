/**
 * Runs each pattern with the real decisions and with the baseline, on the same arrivals.
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
 * Runs the named patterns, or all of them by default.
 *
 * @param names - keys of `patterns`
 * @param seed - the same seed gives the same figures
 * @throws RangeError if a name is not a key of `patterns`
 */
export function runExperiment(names: readonly string[] = Object.keys(patterns), seed = 1): Figure[] {
	return names.flatMap(name => {
		const run = patterns[name];
		if (!run) {
			throw new RangeError(`unknown pattern "${name}"; expected one of ${Object.keys(patterns).join(', ')}`);
		}

		return run(seed);
	});
}
