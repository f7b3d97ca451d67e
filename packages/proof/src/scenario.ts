/**
 * What runs in a world on each path, and how it is judged.
 */
import {Callers} from './callers.js';
import type {Path} from './hooks.js';
import {findBroken, summarizeEnd} from './judge.js';
import {Operators} from './operators.js';
import {StepTrainer} from './step-trainer.js';
import type {World} from './world.js';

export type Scenario = {
	/** What is broken, a line each. */
	findBroken(): string[];
	/** What came of it, by count. */
	summarize(): Record<string, number>;
};

/** Requests beside the one that the fault is aimed at. */
const companions = 3;

function startCallers(world: World, kind: 'query' | 'posting'): Scenario {
	const callers = new Callers(world);
	for (let index = 0; index <= companions; index += 1) {
		callers.send(kind);
	}

	return {
		findBroken: () => findBroken(world, callers.requests),
		summarize: () => countAll(callers.requests.map(request => summarizeEnd(request))),
	};
}

/** Queries before the run proper: hedging wants to know how long they take. */
const warmUpQueries = 80;

/** Brings a world to where it has served for a while. */
export function warmUp(world: World, path: Path): void {
	const callers = new Callers(world);
	for (let index = 0; index < (path === 'call' ? warmUpQueries : 0); index += 1) {
		callers.send('query', `warm-up-${index}`);
	}
}

/** Starts the load of each path. */
export const scenarios: Readonly<Record<Path, (world: World) => Scenario>> = {
	call: world => startCallers(world, 'query'),
	posting: world => startCallers(world, 'posting'),
	sample(world) {
		const trainer = new StepTrainer(world);
		void trainer.draw();
		return trainer;
	},
	configuration(world) {
		const operators = new Operators(world);
		operators.race();
		return operators;
	},
};

/** Counts equal words. */
export function countAll(words: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const word of words) {
		counts[word] = (counts[word] ?? 0) + 1;
	}

	return counts;
}
