/**
 * Random runs with several faults at random steps; the seed makes each run repeatable.
 */
import process from 'node:process';
import {Random} from '@wasabiusher/shared';
import {createFaults} from './faults.js';
import {paths, type Path} from './hooks.js';
import {runCell, type Cell, type Injection} from './run-cell.js';

/** Maximum number of faults in one run. Combinations find errors that single faults do not. */
const maxInjections = 4;

/** Highest passage of a step at which a fault is injected; four requests and their retries reach all of them. */
const maxCount = 6;

const allPaths: readonly Path[] = ['call', 'posting', 'sample', 'configuration'];

/** Creates the run that belongs to a seed. */
export function createRandomCell(seed: number, among: readonly Path[] = allPaths): Cell {
	const random = new Random(seed);
	const path = random.pick(among);
	const names = Object.keys(createFaults(path));
	const injections: Injection[] = Array.from({length: random.integer(1, maxInjections)}, () => ({
		fault: random.pick(names), step: random.pick(paths[path]), count: random.integer(1, maxCount),
	}));
	return {path, injections, seed};
}

/** Runs consecutive seeds, prints each run that breaks a rule with the command to repeat it, and resolves to whether none did. */
export async function soak(firstSeed: number, runs: number): Promise<boolean> {
	let failed = 0;
	for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
		const cell = createRandomCell(seed);
		// Runs replace the global clock, so they can't overlap.
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
