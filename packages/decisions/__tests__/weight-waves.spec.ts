import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {
	failReplica, planWave, storeSource, type WeightReplica, type WaveLimits,
} from '../src/index.js';

/** Simulated durations of a weight fetch and of a swap, in milliseconds. */
const fetchMs = 2000;
const swapMs = 500;

type Outcome = {doneMs: number; maxSwapping: number; maxStoreStreams: number; failures: number};

function simulateRollout(count: number, limits: WaveLimits, failureRate: number): Outcome {
	const random = new Random(7);
	let replicas: WeightReplica[] = Array.from({length: count}, (_, i) => ({id: `e${i}`, state: 'old', failures: 0}));
	const endsAt = new Map<string, number>();
	const outcome: Outcome = {
		doneMs: 0, maxSwapping: 0, maxStoreStreams: 0, failures: 0,
	};
	for (let now = 0; now < 120_000; now += 50) {
		replicas = replicas.map(replica => {
			if ((endsAt.get(replica.id) ?? Number.POSITIVE_INFINITY) > now) {
				return replica;
			}

			endsAt.delete(replica.id);
			if (replica.state === 'swapping' && random.next() < failureRate) {
				outcome.failures += 1;
				return failReplica(replica, now);
			}

			return {...replica, state: replica.state === 'fetching' ? 'fetched' : 'current'};
		});
		const plan = planWave(replicas, limits, now);
		const sources = new Map(plan.fetches.map(({id, source}) => [id, source]));
		const swaps = new Set(plan.swaps);
		replicas = replicas.map(replica => {
			const source = sources.get(replica.id);
			if (source !== undefined || swaps.has(replica.id)) {
				endsAt.set(replica.id, now + (source === undefined ? swapMs : fetchMs));
			}

			return source === undefined ? {...replica, ...(swaps.has(replica.id) && {state: 'swapping'})} : {...replica, state: 'fetching', source};
		});
		outcome.maxSwapping = Math.max(outcome.maxSwapping, replicas.filter(({state}) => state === 'swapping').length);
		outcome.maxStoreStreams = Math.max(outcome.maxStoreStreams, replicas.filter(({state, source}) => state === 'fetching' && source === storeSource).length);
		if (replicas.every(({state}) => state === 'current')) {
			return {...outcome, doneMs: now};
		}
	}

	return {...outcome, doneMs: Number.POSITIVE_INFINITY};
}

describe('planWave', () => {
	it('updates a data centre of 526 endpoints within 17 s including failed swaps, within the headroom and the store\'s rate', () => {
		const outcome = simulateRollout(526, {storeStreams: 8, peerStreams: 2, interactiveEndpoints: 300}, 0.02);
		expect(outcome.failures).to.be.above(0);
		expect(outcome.doneMs).to.be.at.most(17_000);
		expect(outcome.maxSwapping).to.be.at.most(526 - 375);
		expect(outcome.maxStoreStreams).to.be.at.most(8);
	});

	it('updates a small pool without peers, one endpoint at a time if interactive callers need the rest', () => {
		const outcome = simulateRollout(6, {storeStreams: 2, peerStreams: 0, interactiveEndpoints: 4}, 0);
		expect(outcome.maxSwapping).to.equal(1);
		expect(outcome.doneMs).to.be.at.most(17_000);
	});

	it('retries a failed endpoint from another source, after the others', () => {
		const replicas: WeightReplica[] = [
			failReplica({
				id: 'failed', state: 'swapping', failures: 0, source: 'peer',
			}, 0),
			{id: 'peer', state: 'current', failures: 0},
			{id: 'fresh', state: 'old', failures: 0},
		];
		const limits = {storeStreams: 1, peerStreams: 1, interactiveEndpoints: 0};
		expect(planWave(replicas, limits, 100).fetches).to.deep.equal([{id: 'fresh', source: 'peer'}]);
		// The peer has capacity for both.
		expect(planWave(replicas, {...limits, peerStreams: 2}, 600).fetches).to.deep.equal([{id: 'fresh', source: 'peer'}, {id: 'failed', source: storeSource}]);
	});

	it('gives up on an endpoint that fails repeatedly', () => {
		const replicas: WeightReplica[] = [{id: 'bad', state: 'old', failures: 5}];
		expect(planWave(replicas, {storeStreams: 1, peerStreams: 0, interactiveEndpoints: 0}, 1e6).fetches).to.deep.equal([]);
	});
});
