/**
 * Random runs: several faults at random steps in each, from a seed that repeats the run.
 */
import process from 'node:process';
import {Random} from '@wasabiusher/shared';
import {createFaults} from './faults.js';
import {paths, type Path} from './hooks.js';
import {runCell, type Cell, type Injection} from './run-cell.js';

/** Most faults of one run: pairs and triples find what single faults do not. */
const maxInjections = 4;

/** The n-th passage of a step at which a fault may come; with four requests and their retries all are reached. */
const maxCount = 6;

const allPaths: readonly Path[] = ['call', 'posting', 'sample', 'configuration'];

/** Draws the run of a seed. */
export function createRandomCell(seed: number, among: readonly Path[] = allPaths): Cell {
	const random = new Random(seed);
	const path = random.pick(among);
	const names = Object.keys(createFaults(path));
	const injections: Injection[] = Array.from({length: random.integer(1, maxInjections)}, () => ({
		fault: random.pick(names), step: random.pick(paths[path]), count: random.integer(1, maxCount),
	}));
	return {path, injections, seed};
}

/** Runs seeds from the first on; prints each that breaks something, with the command that repeats it. */
export async function soak(firstSeed: number, runs: number): Promise<boolean> {
	let failed = 0;
	for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
		const cell = createRandomCell(seed);
		// Each run has the clock to itself.
		// eslint-disable-next-line no-await-in-loop
		const {broken} = await runCell(cell);
		if (broken.length > 0) {
			failed += 1;
			process.stdout.write(`seed ${seed}: ${JSON.stringify(cell.injections)}\n  ${broken.join('\n  ')}\n  repeat: npm run soak -- --seed ${seed} --runs 1\n`);
		}
	}

	process.stdout.write(`${runs} runs from seed ${firstSeed}, ${failed} broken\n`);
	return failed === 0;
}
