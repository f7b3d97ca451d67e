/**
 * One run: a world, some load, faults at steps, and the judgement.
 */
import {install} from '@sinonjs/fake-timers';
import {Callers, type Request} from './callers.js';
import {createFaults} from './faults.js';
import {paths, type Path, type Step} from './hooks.js';
import {findBroken, summarizeEnd} from './judge.js';
import {World} from './world.js';

/** Time for links and first reports before the load, in milliseconds. */
const settleMs = 1000;

/** Time after which every request must have ended, in milliseconds: the deadline, and those of some tries again. */
const endMs = 200_000;

/** Requests beside the one that the fault is aimed at. */
const companions = 3;

/** A fault at a step of a path; `count` picks the n-th passage. */
export type Injection = {fault: string; step: Step; count?: number};

export type Cell = {path: Path; injections: Injection[]; seed: number};

export type CellResult = {
	broken: string[];
	/** What the callers were told, by count. */
	ends: Record<string, number>;
	/** Faults that were really injected. */
	injected: number;
};

/** Runs a cell under a paused clock of its own. */
export async function runCell({path, injections, seed}: Cell): Promise<CellResult> {
	const clock = install({shouldClearNativeTimers: true});
	try {
		const world = new World(seed);
		const faults = createFaults(path);
		const injected: string[] = [];
		await clock.tickAsync(settleMs);
		for (const {fault, step, count} of injections) {
			world.hooks.once(step, passage => {
				injected.push(fault);
				faults[fault]!.inject(world, passage);
			}, count);
		}

		const requests = sendLoad(world, path);
		await clock.tickAsync(endMs);
		return {broken: findBroken(world, requests), ends: countEnds(requests), injected: injected.length};
	} finally {
		clock.reset();
		clock.uninstall();
	}
}

function sendLoad(world: World, path: Path): readonly Request[] {
	const callers = new Callers(world);
	const kind = path === 'call' ? 'query' : 'posting';
	for (let index = 0; index <= companions; index += 1) {
		callers.send(kind);
	}

	return callers.requests;
}

function countEnds(requests: readonly Request[]): Record<string, number> {
	const ends: Record<string, number> = {};
	for (const request of requests) {
		const end = summarizeEnd(request);
		ends[end] = (ends[end] ?? 0) + 1;
	}

	return ends;
}

/** All single cells of a path. */
export function listCells(path: Path, seed = 1): Cell[] {
	return Object.keys(createFaults(path)).flatMap(fault => paths[path].map(step => ({path, injections: [{fault, step}], seed})));
}
