/**
 * Searches for a run that breaks a rule.
 */
import type {Path} from './hooks.js';
import {listCells, runCell} from './run-cell.js';
import {createRandomCell} from './soak.js';

/**
 * Runs the fault matrix of the paths, then random runs on them, until one breaks a rule.
 *
 * @returns the faults and the first broken rule of that run; undefined if no run broke one
 */
export async function findBrokenRun(paths: readonly Path[], randomRuns: number): Promise<string | undefined> {
	const matrix = paths.flatMap(path => listCells(path));
	const random = Array.from({length: randomRuns}, (_, index) => createRandomCell(index + 1, paths));
	for (const cell of [...matrix, ...random]) {
		// Runs replace the global clock, so they can't overlap.
		// eslint-disable-next-line no-await-in-loop
		const {broken} = await runCell(cell);
		if (broken.length > 0) {
			return `${cell.injections.map(({fault, step}) => `${fault} at ${step}`).join(', ')}: ${broken[0]!}`;
		}
	}

	return undefined;
}
