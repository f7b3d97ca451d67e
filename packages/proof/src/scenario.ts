/**
 * The load that runs in a world for each path, and the checks of its outcome.
 */
import {Callers} from './callers.js';
import type {Path} from './hooks.js';
import {findBroken, summarizeEnd} from './judge.js';
import {Operators} from './operators.js';
import {StepTrainer} from './step-trainer.js';
import type {World} from './world.js';

export type Scenario = {
	/** Returns one line for each broken rule. */
	findBroken(): string[];
	/** Counts the outcomes by kind. */
	summarize(): Record<string, number>;
};

/** Number of requests that run beside the first one. */
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

/** Number of warm-up queries; hedging needs their durations. */
const warmUpQueries = 80;

/** Sends the warm-up queries; other paths than `call` need none. */
export function warmUp(world: World, path: Path): void {
	const callers = new Callers(world);
	for (let index = 0; index < (path === 'call' ? warmUpQueries : 0); index += 1) {
		callers.send('query', `warm-up-${index}`);
	}
}

/** Start functions of the load, by path. */
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

/** Counts how often each word occurs. */
export function countAll(words: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const word of words) {
		counts[word] = (counts[word] ?? 0) + 1;
	}

	return counts;
}
