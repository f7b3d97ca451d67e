import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Message, MessageOf} from '@wasabiusher/link';
import {PlatformError, type WeightStore} from '@wasabiusher/backends';
import {createSilentLog} from '@wasabiusher/shared';
import {WeightRollout, type ControlledEndpoint, type OrderLease} from '../src/index.js';

/** Duration of a fetch, in milliseconds. */
const fetchMs = 2000;

/** Duration of a swap, in milliseconds. */
const swapMs = 1500;

/** Maximum time until all endpoints have a new version, in milliseconds. */
const limitMs = 17_000;

const firstLease: OrderLease = {fence: 1, holds: () => true};

type FakeEndpoint = ControlledEndpoint & {isSwapping: boolean; failures: number; canFetch: boolean; isUnresponsive: boolean; highestFence: number};

/** Simulates endpoints that carry out orders with realistic delays, behind the interface of the links. */
class FakePool {
	readonly endpoints = new Map<string, FakeEndpoint>();
	readonly sent: Array<{agent: string; message: MessageOf<'order'>}> = [];
	readonly rollouts = new Set<WeightRollout>();
	maxSwapping = 0;
	maxFetching = 0;
	#fetching = 0;

	constructor(count: number, interactive = 0) {
		for (let index = 0; index < count; index += 1) {
			const agent = `agent-${index}`;
			this.endpoints.set(agent, {
				agent, isUp: true, isSwapping: false, failures: 0, canFetch: true, isUnresponsive: false, highestFence: 0, status: createStatus(interactive),
			});
		}
	}

	get versions(): number[] {
		return [...this.endpoints.values()].map(({status}) => status.models[0]!.version);
	}

	get(index: number): FakeEndpoint {
		return this.endpoints.get(`agent-${index}`)!;
	}

	send(agent: string, message: Message): boolean {
		const endpoint = this.endpoints.get(agent)!;
		const order = message as MessageOf<'order'>;
		this.sent.push({agent, message: order});
		void this.#carryOut(endpoint, order);
		return endpoint.isUp;
	}

	async #carryOut(endpoint: FakeEndpoint, {order, fence, body}: MessageOf<'order'>): Promise<void> {
		const answer = (outcome: MessageOf<'ordered'>['outcome'], detail = '') => {
			for (const rollout of endpoint.isUnresponsive ? [] : this.rollouts) {
				rollout.receive(endpoint.agent, {
					kind: 'ordered', order, outcome, detail,
				});
			}
		};

		if (fence < endpoint.highestFence) {
			answer('fenced');
			return;
		}

		endpoint.highestFence = fence;
		if (body.kind === 'prefetch') {
			await this.#fetch();
			answer(endpoint.canFetch ? 'done' : 'failed', 'unknown order');
		} else if (body.kind === 'load') {
			answer(await this.#swap(endpoint, body.version) ? 'done' : 'failed', 'the swap failed');
		}
	}

	async #fetch(): Promise<void> {
		this.#fetching += 1;
		this.maxFetching = Math.max(this.maxFetching, this.#fetching);
		await wait(fetchMs);
		this.#fetching -= 1;
	}

	async #swap(endpoint: FakeEndpoint, version: number): Promise<boolean> {
		endpoint.isSwapping = true;
		this.maxSwapping = Math.max(this.maxSwapping, [...this.endpoints.values()].filter(({isSwapping}) => isSwapping).length);
		await wait(swapMs);
		endpoint.isSwapping = false;
		if (endpoint.failures > 0) {
			endpoint.failures -= 1;
			return false;
		}

		endpoint.status = {...endpoint.status, models: [{model: 'trail', version}]};
		return true;
	}
}

function createStatus(interactive: number): ControlledEndpoint['status'] {
	return {
		service: 'models',
		models: [{model: 'trail', version: 1}],
		role: 'any',
		limit: 8,
		running: 8,
		interactive,
		waiting: 0,
		waitingWork: 0,
		workPerSecond: 1,
		isLeaving: false,
		isHealthy: true,
		configurationVersion: 1,
		fence: 0,
	};
}

async function wait(waitMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, waitMs);
	});
}

describe('WeightRollout', () => {
	let clock: Clock;
	let published: number;
	let isStoreDown: boolean;

	beforeEach(() => {
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		published = 2;
		isStoreDown = false;
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createRollout(pool: FakePool, lease: OrderLease = firstLease): WeightRollout {
		const weights: WeightStore = {
			async listVersions() {
				if (isStoreDown) {
					throw new PlatformError('unavailable', 'down');
				}

				return [{model: 'trail', version: published, publishedAt: 0}];
			},
		};
		const rollout = new WeightRollout({
			service: 'models', weights, lease, log: createSilentLog(), listEndpoints: () => [...pool.endpoints.values()], send: (agent, message) => pool.send(agent, message),
		});
		pool.rollouts.add(rollout);
		return rollout;
	}

	function isRolledOut(pool: FakePool): boolean {
		return pool.versions.every(version => version === published);
	}

	/** Runs ticks for `timeMs`; resolves to the time until all endpoints had the version, in milliseconds, or to undefined if they did not get it. */
	async function run(pool: FakePool, rollout: WeightRollout, timeMs = limitMs): Promise<number | undefined> {
		let doneMs: number | undefined;
		for (let elapsedMs = 0; elapsedMs < timeMs; elapsedMs += 250) {
			// Ticks run one after another.
			// eslint-disable-next-line no-await-in-loop
			await rollout.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(250);
			if (isRolledOut(pool)) {
				doneMs ??= elapsedMs + 250;
			}
		}

		return doneMs;
	}

	it('updates all endpoints to the newest version in time, with few unavailable at once and limited concurrent fetches', async () => {
		const pool = new FakePool(6);
		const rollout = createRollout(pool);
		expect(await run(pool, rollout)).to.be.at.most(limitMs);
		expect(pool.maxSwapping).to.be.at.most(3);
		expect(pool.maxFetching).to.be.at.most(4);
		expect(rollout.describe()[0]).to.deep.include({
			model: 'trail', version: 2, isDone: true, stuck: [],
		});
	});

	it('leaves interactive callers the capacity that they need', async () => {
		// Each of six endpoints runs four interactive requests in eight slots: the demand of three endpoints, plus a reserve of a quarter.
		const pool = new FakePool(6, 4);
		expect(await run(pool, createRollout(pool))).to.be.at.most(limitMs);
		expect(pool.maxSwapping).to.be.at.most(2);
	});

	it('retries failed swaps and counts an endpoint as done only when it reports the version', async () => {
		const pool = new FakePool(4);
		pool.get(0).failures = 2;
		const rollout = createRollout(pool);
		await run(pool, rollout, 6000);
		expect(rollout.describe()[0]!.isDone).to.equal(false);
		await run(pool, rollout);
		expect(pool.versions).to.deep.equal([2, 2, 2, 2]);
		expect(rollout.describe()[0]!.isDone).to.equal(true);
	});

	it('leaves an endpoint that fails permanently at its version, and reports it as stuck', async () => {
		const pool = new FakePool(3);
		pool.get(0).failures = 1000;
		const rollout = createRollout(pool);
		await run(pool, rollout, 60_000);
		expect(pool.versions).to.deep.equal([1, 2, 2]);
		expect(rollout.describe()[0]!.stuck).to.deep.equal([{agent: 'agent-0', detail: 'the swap failed'}]);
	});

	it('swaps without a prefetch on an engine that does not support it', async () => {
		const pool = new FakePool(2);
		pool.get(0).canFetch = false;
		expect(await run(pool, createRollout(pool))).to.be.at.most(limitMs);
	});

	it('sends no order without the lease, and another holder finishes the rollout under a higher fence', async () => {
		const pool = new FakePool(6);
		let isHeld = true;
		const first = createRollout(pool, {fence: 1, holds: () => isHeld});
		await run(pool, first, 2500);
		isHeld = false;
		const sent = pool.sent.length;
		await run(pool, first, 5000);
		expect(pool.sent).to.have.lengthOf(sent);
		expect(first.describe()).to.deep.equal([]);
		expect(await run(pool, createRollout(pool, {fence: 2, holds: () => true}))).to.be.at.most(limitMs);
		// The first holder resumes after a pause and assumes that it still holds the lease: the agents refuse its orders.
		isHeld = true;
		published = 9;
		await run(pool, first, 3000);
		expect(pool.versions).to.deep.equal([2, 2, 2, 2, 2, 2]);
	});

	it('checks the lease before each order, not once per tick', async () => {
		const pool = new FakePool(6);
		let checks = 0;
		const rollout = createRollout(pool, {
			fence: 1,
			holds() {
				checks += 1;
				return checks <= 4;
			},
		});
		await rollout.tick();
		expect(pool.sent).to.have.lengthOf(2);
	});

	it('continues with the known versions while the store is down', async () => {
		const pool = new FakePool(6);
		const rollout = createRollout(pool);
		await run(pool, rollout, 500);
		isStoreDown = true;
		expect(await run(pool, rollout)).to.be.at.most(limitMs);
	});

	it('repeats an order when the answer or the link was lost', async () => {
		const pool = new FakePool(2);
		pool.get(0).isUnresponsive = true;
		pool.get(1).isUp = false;
		const rollout = createRollout(pool);
		await run(pool, rollout, 3000);
		expect(pool.versions).to.deep.equal([1, 1]);
		pool.get(0).isUnresponsive = false;
		pool.get(1).isUp = true;
		await run(pool, rollout, 45_000);
		expect(pool.versions).to.deep.equal([2, 2]);
	});

	it('updates a restarted engine to the version again', async () => {
		const pool = new FakePool(2);
		const rollout = createRollout(pool);
		await run(pool, rollout);
		pool.get(1).status = createStatus(0);
		await run(pool, rollout);
		expect(pool.versions).to.deep.equal([2, 2]);
	});

	it('continues with a newer version published during the rollout, and never goes back', async () => {
		const pool = new FakePool(4);
		const rollout = createRollout(pool);
		await run(pool, rollout, 3000);
		published = 3;
		expect(await run(pool, rollout)).to.be.at.most(limitMs);
		published = 1;
		await run(pool, rollout, 5000);
		expect(pool.versions).to.deep.equal([3, 3, 3, 3]);
	});

	it('sends no order to an endpoint that is leaving', async () => {
		const pool = new FakePool(2);
		pool.get(0).status = {...createStatus(0), isLeaving: true};
		await run(pool, createRollout(pool));
		expect(pool.versions).to.deep.equal([1, 2]);
	});
});
