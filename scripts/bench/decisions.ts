/**
 * Measures the processor time of routing, queueing and subset decisions.
 */
import {
	chooseEndpoint, FairQueue, findSubset, type Candidate,
} from '@wasabiusher/decisions';
import {Random} from '@wasabiusher/shared';
import {FairPriorityQueue} from '@wasabiusher/slots';
import {createSlope, type Figure} from './figure.js';
import {measureUs} from './measure.js';

const seed = 1;

/** Numbers of candidate endpoints. An entry chooses among 64 endpoints by default; small deployments have a few. */
const candidateCounts = [8, 64, 512] as const;

const queueLengths = [100, 1000, 10_000] as const;

/** Endpoints of a data centre; the largest is one of 19 data centres at the design size of 10,000 endpoints. */
const endpointCounts = [53, 175, 526] as const;

/** Entries per endpoint at the design size: 1,700 entries for 10,000 endpoints. */
const entriesPerEndpoint = 0.17;

function countEntries(endpoints: number): number {
	return Math.round(endpoints * entriesPerEndpoint);
}

function measureRouting(count: number): number {
	const random = new Random(seed);
	const candidates = Array.from({length: count}, (_, index): Candidate => ({
		id: `agent-${index}`, load: random.integer(0, 64), limit: 64, dataCentre: 'innsbruck-a', serviceMs: 100 + index,
	}));
	return measureUs(() => chooseEndpoint(candidates, random, {dataCentre: 'innsbruck-a'}));
}

/** Time of one push and one pop, in microseconds, at a queue with `length` waiting jobs of 100 callers. */
function measureQueue(length: number): number {
	const queue = new FairQueue<number>();
	const random = new Random(seed);
	let next = 0;
	const push = () => {
		next += 1;
		queue.push({
			id: String(next), class: 'interactive', caller: `caller-${random.integer(0, 99)}`, priority: 5, share: 1, cost: random.integer(1, 256),
		}, next);
	};

	for (let i = 0; i < length; i += 1) {
		push();
	}

	return measureUs(() => {
		push();
		return queue.pop();
	});
}

/**
 * Time of adding and serving one job, in microseconds, at a host's wait queue with `length` waiting jobs
 * of 100 customers, three urgencies and eight eligibility classes, one of which has no available endpoint.
 */
function measureGrant(length: number): number {
	const order = new FairPriorityQueue<number>();
	const random = new Random(seed);
	let next = 0;
	const add = (lane = random.integer(1, 7)) => {
		next += 1;
		order.add({
			urgency: random.integer(0, 2), turn: `customer-${random.integer(0, 99)}`, weight: 1, eligibilityKey: `lane-${lane}`, beginBy: next + random.integer(0, 1000),
			rank: 0, cost: random.integer(1, 256),
		}, next);
	};

	for (let i = 0; i < length; i += 1) {
		add(i % 8);
	}

	return measureUs(() => {
		add();
		order.serve(order.findFirst(next, lane => lane === 'lane-0')!);
	});
}

function measureSubset(endpoints: number): number {
	const listNames = (prefix: string, count: number) => Array.from({length: count}, (_, index) => `${prefix}-${index}`);
	const entries = listNames('entry', countEntries(endpoints));
	const agents = listNames('agent', endpoints);
	return measureUs(() => findSubset('entry-0', entries, agents));
}

export function measureDecisions(): Figure[] {
	const measure = (sizes: readonly number[], run: (n: number) => number) => sizes.map(n => ({n, value: run(n)}));
	return [
		createSlope('routing decision CPU', 'us/candidate', measure(candidateCounts, measureRouting)),
		createSlope('queue push and pop CPU', 'us/waiting job', measure(queueLengths, measureQueue)),
		createSlope('grant in the line of a host CPU', 'us/waiting job', measure(queueLengths, measureGrant)),
		// Every pair of an entry and an endpoint is ranked, so the cost grows with the square of the data centre's size.
		createSlope('subset CPU', 'us/pair', endpointCounts.map(count => ({n: count * countEntries(count), value: measureSubset(count)}))),
	];
}
