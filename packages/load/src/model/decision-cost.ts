/**
 * Measures the computing time of decisions for `npm run bench`; not used in tests.
 */
import {
	chooseEndpoint, FairQueue, PrefixIndex, splitPrefix, type Candidate,
} from '@wasabiusher/decisions';
import {priorityClasses, Random} from '@wasabiusher/shared';
import {findPercentile} from './run-calls.js';

/** Bounds: 50 µs at the 99th percentile for a routing decision among 64 endpoints, and 200,000 queue operations (one push and one pop) per second. */
export const routingBarUs = 50;
export const queueBarPerSecond = 200_000;

/** Decisions made before measuring, so that the code is compiled by then. */
const warmUp = 5000;
const routingRounds = 20_000;

/** Measures the 99th percentile of a routing decision in microseconds, including the prefix match of a prompt of 8,192 characters at each endpoint. */
export function measureRoutingUs(endpointCount = 64): number {
	const random = new Random(1);
	const prefixes = new PrefixIndex();
	const blocks = splitPrefix('a'.repeat(8192));
	const rows = Array.from({length: endpointCount}, (_, i) => ({
		id: `endpoint-${i}`, load: i % 9, serviceMs: 100 + i, dataCentre: i % 3 === 0 ? 'muroran' : 'tomakomai',
	}));
	for (const {id, load} of rows) {
		prefixes.recordSent(id, blocks.slice(0, load * 3), 0);
	}

	const times: number[] = [];
	for (let i = 0; i < warmUp + routingRounds; i++) {
		const startedAt = performance.now();
		const candidates = rows.map(({id, load, serviceMs, dataCentre}): Candidate => ({
			id, load, limit: 8, serviceMs, dataCentre, cached: prefixes.match(id, blocks),
		}));
		chooseEndpoint(candidates, random, {dataCentre: 'tomakomai'});
		times.push((performance.now() - startedAt) * 1000);
	}

	return findPercentile(times.slice(warmUp), 0.99);
}

/** Measures how many jobs per second are pushed to and popped from the queue, while `waiting` jobs of `callers` callers are queued. */
export function measureQueuePerSecond(waiting = 10_000, callers = 1000): number {
	const queue = new FairQueue<number>();
	let count = 0;
	const push = () => {
		count += 1;
		queue.push({
			id: `job-${count}`, class: priorityClasses[count % 3]!, priority: 5, caller: `caller-${count % callers}`, share: 1, cost: 1 + (count % 7),
		}, count);
	};

	const turnOver = (rounds: number) => {
		for (let i = 0; i < rounds; i++) {
			push();
			queue.pop();
		}
	};

	for (let i = 0; i < waiting; i++) {
		push();
	}

	turnOver(50_000);
	const rounds = 200_000;
	const startedAt = performance.now();
	turnOver(rounds);
	return rounds * 1000 / (performance.now() - startedAt);
}
