/**
 * Looks for a run in which something is broken.
 */
import type {Path} from './hooks.js';
import {listCells, runCell} from './run-cell.js';
import {createRandomCell} from './soak.js';

/**
 * Runs the matrix of the paths, then random runs of them.
 *
 * @returns what was broken first and where; undefined if nothing was
 */
export async function findBrokenRun(paths: readonly Path[], randomRuns: number): Promise<string | undefined> {
	const matrix = paths.flatMap(path => listCells(path));
	const random = Array.from({length: randomRuns}, (_, index) => createRandomCell(index + 1, paths));
	for (const cell of [...matrix, ...random]) {
		// Each run has the clock to itself.
		// eslint-disable-next-line no-await-in-loop
		const {broken} = await runCell(cell);
		if (broken.length > 0) {
			return `${cell.injections.map(({fault, step}) => `${fault} at ${step}`).join(', ')}: ${broken[0]!}`;
		}
	}

	return undefined;
}
