import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Message, MessageOf} from '@wasabiusher/link';
import {PlatformError, type WeightStore} from '@wasabiusher/backends';
import {createSilentLog} from '@wasabiusher/shared';
import {WeightRollout, type ControlledEndpoint, type OrderLease} from '../src/index.js';

/** Time of a fetch and of a swap, in milliseconds. */
const fetchMs = 2000;
const swapMs = 1500;

/** Within this all endpoints must have a new version, in milliseconds. */
const boundMs = 17_000;

const firstLease: OrderLease = {fence: 1, holds: () => true};

type FakeEndpoint = ControlledEndpoint & {isSwapping: boolean; failures: number; canFetch: boolean; isMute: boolean; highest: number};

/** Endpoints that carry out orders in their time, at the interface of the links. */
class FakePool {
	readonly endpoints = new Map<string, FakeEndpoint>();
	readonly sent: Array<{agent: string; message: MessageOf<'order'>}> = [];
	readonly rollouts = new Set<WeightRollout>();
	mostOut = 0;
	mostFetching = 0;
	#fetching = 0;

	constructor(count: number, interactive = 0) {
		for (let index = 0; index < count; index += 1) {
			const agent = `agent-${index}`;
			this.endpoints.set(agent, {
				agent, isUp: true, isSwapping: false, failures: 0, canFetch: true, isMute: false, highest: 0, status: createStatus(interactive),
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
			for (const rollout of endpoint.isMute ? [] : this.rollouts) {
				rollout.receive(endpoint.agent, {
					kind: 'ordered', order, outcome, detail,
				});
			}
		};

		if (fence < endpoint.highest) {
			answer('fenced');
			return;
		}

		endpoint.highest = fence;
		if (body.kind === 'prefetch') {
			await this.#fetch();
			answer(endpoint.canFetch ? 'done' : 'failed', 'unknown order');
		} else if (body.kind === 'load') {
			answer(await this.#swap(endpoint, body.version) ? 'done' : 'failed', 'the swap failed');
		}
	}

	async #fetch(): Promise<void> {
		this.#fetching += 1;
		this.mostFetching = Math.max(this.mostFetching, this.#fetching);
		await wait(fetchMs);
		this.#fetching -= 1;
	}

	async #swap(endpoint: FakeEndpoint, version: number): Promise<boolean> {
		endpoint.isSwapping = true;
		this.mostOut = Math.max(this.mostOut, [...this.endpoints.values()].filter(({isSwapping}) => isSwapping).length);
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

describe('weight rollout', () => {
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

	function isEverywhere(pool: FakePool): boolean {
		return pool.versions.every(version => version === published);
	}

	/** Runs ticks for a time; resolves to the milliseconds until all had the version, if they had. */
	async function run(pool: FakePool, rollout: WeightRollout, timeMs = boundMs): Promise<number | undefined> {
		let doneMs: number | undefined;
		for (let elapsedMs = 0; elapsedMs < timeMs; elapsedMs += 250) {
			// Ticks follow one another.
			// eslint-disable-next-line no-await-in-loop
			await rollout.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(250);
			if (isEverywhere(pool)) {
				doneMs ??= elapsedMs + 250;
			}
		}

		return doneMs;
	}

	it('brings all endpoints to the newest version in time, few at once, with the store at its rate', async () => {
		const pool = new FakePool(6);
		const rollout = createRollout(pool);
		expect(await run(pool, rollout)).to.be.at.most(boundMs);
		expect(pool.mostOut).to.be.at.most(3);
		expect(pool.mostFetching).to.be.at.most(4);
		expect(rollout.describe()[0]).to.deep.include({
			model: 'trail', version: 2, isDone: true, stuck: [],
		});
	});

	it('leaves interactive callers what they need', async () => {
		// Each of six endpoints runs four interactive requests of eight: three endpoints' worth, and a quarter to spare.
		const pool = new FakePool(6, 4);
		expect(await run(pool, createRollout(pool))).to.be.at.most(boundMs);
		expect(pool.mostOut).to.be.at.most(2);
	});

	it('tries failed swaps again and counts only what is reported', async () => {
		const pool = new FakePool(4);
		pool.get(0).failures = 2;
		const rollout = createRollout(pool);
		await run(pool, rollout, 6000);
		expect(rollout.describe()[0]!.isDone).to.equal(false);
		await run(pool, rollout);
		expect(pool.versions).to.deep.equal([2, 2, 2, 2]);
		expect(rollout.describe()[0]!.isDone).to.equal(true);
	});

	it('leaves an endpoint that fails for good at its version, and says so', async () => {
		const pool = new FakePool(3);
		pool.get(0).failures = 1000;
		const rollout = createRollout(pool);
		await run(pool, rollout, 60_000);
		expect(pool.versions).to.deep.equal([1, 2, 2]);
		expect(rollout.describe()[0]!.stuck).to.deep.equal([{agent: 'agent-0', detail: 'the swap failed'}]);
	});

	it('swaps at once on an engine that can not fetch ahead', async () => {
		const pool = new FakePool(2);
		pool.get(0).canFetch = false;
		expect(await run(pool, createRollout(pool))).to.be.at.most(boundMs);
	});

	it('gives no order without the lease, and another holder ends what was begun under a higher fence', async () => {
		const pool = new FakePool(6);
		let isHeld = true;
		const first = createRollout(pool, {fence: 1, holds: () => isHeld});
		await run(pool, first, 2500);
		isHeld = false;
		const sent = pool.sent.length;
		await run(pool, first, 5000);
		expect(pool.sent).to.have.lengthOf(sent);
		expect(first.describe()).to.deep.equal([]);
		expect(await run(pool, createRollout(pool, {fence: 2, holds: () => true}))).to.be.at.most(boundMs);
		// It was paused, resumes, and believes that it still holds the lease: the agents refuse it.
		isHeld = true;
		published = 9;
		await run(pool, first, 3000);
		expect(pool.versions).to.deep.equal([2, 2, 2, 2, 2, 2]);
	});

	it('asks for the lease before each order, not once a round', async () => {
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

	it('goes on with what it knows while the store is down', async () => {
		const pool = new FakePool(6);
		const rollout = createRollout(pool);
		await run(pool, rollout, 500);
		isStoreDown = true;
		expect(await run(pool, rollout)).to.be.at.most(boundMs);
	});

	it('orders again where the answer or the link was lost', async () => {
		const pool = new FakePool(2);
		pool.get(0).isMute = true;
		pool.get(1).isUp = false;
		const rollout = createRollout(pool);
		await run(pool, rollout, 3000);
		expect(pool.versions).to.deep.equal([1, 1]);
		pool.get(0).isMute = false;
		pool.get(1).isUp = true;
		await run(pool, rollout, 45_000);
		expect(pool.versions).to.deep.equal([2, 2]);
	});

	it('brings an engine that was started anew to the version again', async () => {
		const pool = new FakePool(2);
		const rollout = createRollout(pool);
		await run(pool, rollout);
		pool.get(1).status = createStatus(0);
		await run(pool, rollout);
		expect(pool.versions).to.deep.equal([2, 2]);
	});

	it('goes on to a version that comes meanwhile, and never back', async () => {
		const pool = new FakePool(4);
		const rollout = createRollout(pool);
		await run(pool, rollout, 3000);
		published = 3;
		expect(await run(pool, rollout)).to.be.at.most(boundMs);
		published = 1;
		await run(pool, rollout, 5000);
		expect(pool.versions).to.deep.equal([3, 3, 3, 3]);
	});

	it('orders nothing of an endpoint that leaves', async () => {
		const pool = new FakePool(2);
		pool.get(0).status = {...createStatus(0), isLeaving: true};
		await run(pool, createRollout(pool));
		expect(pool.versions).to.deep.equal([1, 2]);
	});
});
