import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {defaultPolicy} from '@wasabiusher/decisions';
import {createSilentLog} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {HostRegistry, hostTable, type HostRegistrySettings} from '../src/index.js';

describe('HostRegistry', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let version: number;
	let isFeedOpen: boolean;
	let registries: HostRegistry[];

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
		version = 0;
		isFeedOpen = true;
		registries = [];
	});

	afterEach(() => {
		for (const registry of registries) {
			registry.stop();
		}

		clock.uninstall();
	});

	it('rejects rows that are malformed or out of bounds, and ignores fields of a newer release', () => {
		const paces: Array<Record<string, number>> = [];
		const registry = createRegistry('a', false, {
			onPaces(reported) {
				paces.push(reported);
			},
		});
		const row = {
			incarnation: 'x', beat: 1, isLeaving: false, paces: {i: 20}, ofNewerRelease: {any: true},
		};
		const apply = (value: string) => {
			registry.apply({
				table: hostTable, part: '', key: 'b', version: 1, value: Buffer.from(value),
			});
		};

		for (const value of ['', '{', 'null', '[]', JSON.stringify({...row, paces: {i: -1}}), JSON.stringify({...row, cores: 1e9}), JSON.stringify({...row, beat: 'x'})]) {
			expect(() => {
				apply(value);
			}).to.throw();
		}

		expect([registry.count, paces]).to.deep.equal([0, []]);
		apply(JSON.stringify(row));
		expect([registry.count, paces]).to.deep.equal([1, [{i: 20}]]);
	});

	function createRegistry(host: string, ownsWork: boolean, changes: Partial<HostRegistrySettings> = {}): HostRegistry {
		const registry = new HostRegistry({
			rows: store, host, log: createSilentLog(), hasWork: () => ownsWork, ...changes,
		});
		registries.push(registry);
		registry.start();
		return registry;
	}

	/** Advances the clock, and applies the feed to a registry while the feed is open. */
	async function run(registry: HostRegistry, ms: number): Promise<void> {
		for (let i = 0; i < ms / 50; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(50);
			if (isFeedOpen) {
				// eslint-disable-next-line no-await-in-loop
				const page = await store.read({table: hostTable, part: ''});
				const seen = version;
				for (const row of page.rows.filter(({version: written}) => written > seen)) {
					registry.apply(row);
				}

				version = page.version;
				registry.recordContact();
			}
		}
	}

	it('reports no process as gone while the store refuses some of its own heartbeats, and does once all are accepted', async () => {
		const views = [store.createView(), store.createView()];
		const other = createRegistry('a', true, {rows: views[0]});
		const own = createRegistry('b', true, {rows: views[1]});
		await run(own, 2000);
		views[0]!.switches.isDown = true;
		for (let i = 0; i < 12; i += 1) {
			views[1]!.switches.isDown = i % 2 === 0;
			// eslint-disable-next-line no-await-in-loop
			await run(own, 400);
			expect(own.isGone(other.incarnation, 0)).to.equal(false);
		}

		views[1]!.switches.isDown = false;
		await run(own, 2500);
		expect(own.isGone(other.incarnation, 0)).to.equal(true);
	});

	it('sums the waiting samples of all hosts, except for hosts whose heartbeats are overdue', async () => {
		const own = createRegistry('a', true, {listWaiting: () => ({m: 3})});
		const other = createRegistry('b', true, {listWaiting: () => ({m: 4, n: 1})});
		await run(own, 500);
		expect(['m', 'n', 'other'].map(model => own.countWaiting(model))).to.deep.equal([7, 1, 0]);
		other.stop();
		await run(own, 1200);
		expect(own.countWaiting('m')).to.equal(3);
	});

	it('treats a process as alive again that continues after a late heartbeat of its predecessor', async () => {
		const registry = createRegistry('watcher', false);
		const receive = (incarnation: string, beat: number) => {
			registry.apply({
				table: hostTable, part: '', key: 'h', version: 1, value: Buffer.from(JSON.stringify({incarnation, beat, isLeaving: false})),
			});
		};

		for (const beat of [1, 2]) {
			receive('new', beat);
		}

		receive('old', 1);
		for (const beat of [3, 4, 5, 6]) {
			receive('new', beat);
		}

		const now = performance.now();
		expect([registry.isGone('new', now), registry.isGone('old', now)]).to.deep.equal([false, true]);
	});

	it('reports a silent process as gone while it receives its own heartbeats', async () => {
		const [owner, other] = [createRegistry('a', true), createRegistry('b', false)];
		await run(other, 2000);
		expect(other.isGone(owner.incarnation, 0)).to.equal(false);
		owner.stop();
		let isGone = false;
		for (let i = 0; i < 60 && !isGone; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await run(other, 50);
			isGone = other.isGone(owner.incarnation, 0);
		}

		expect(isGone).to.equal(true);
	});

	it('reports no process as gone while its feed hangs, even if its heartbeats are accepted', async () => {
		const [owner, other] = [createRegistry('a', true), createRegistry('b', true)];
		await run(other, 2000);
		isFeedOpen = false;
		const seen: boolean[] = [];
		for (let i = 0; i < 42; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await run(other, 50);
			seen.push(other.isGone(owner.incarnation, 0));
		}

		isFeedOpen = true;
		for (let i = 0; i < 40; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await run(other, 50);
			seen.push(other.isGone(owner.incarnation, 0));
		}

		expect(seen).to.not.include(true);
	});

	it('reports paces with its fifth heartbeat and every tenth after it, and receives those of other hosts but not its own', async () => {
		const received: Array<[string, Record<string, number>]> = [];
		const recordPaces = (host: string) => ({
			onPaces(paces: Record<string, number>) {
				received.push([host, paces]);
			},
		});
		const owner = createRegistry('a', true, {listPaces: () => ({i1: 38.5}), ...recordPaces('a')});
		const other = createRegistry('b', false, recordPaces('b'));
		for (let i = 0; i < 160; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await run(other, 50);
			// eslint-disable-next-line no-await-in-loop
			const {rows: [row]} = await store.read({table: hostTable, part: '', limit: 1});
			owner.apply(row!);
		}

		expect(received.length).to.equal(2);
		expect(received.every(([host, paces]) => host === 'b' && paces.i1 === 38.5)).to.equal(true);
	});

	it('lets all hosts suspect a silent one at once if the policy does not rank them', () => {
		const hosts = ['a', 'b', 'c'].map(host => createRegistry(host, false, {policy: {...defaultPolicy, ranksTakeOvers: false}}));
		expect(hosts.map(host => host.findTakeoverDelayMs('batch'))).to.deep.equal([0, 0, 0]);
	});

	it('lets few hosts suspect a silent one at a time, however many there are', async () => {
		const owner = createRegistry('a', true);
		const hosts = Array.from({length: 300}, (_, i) => createRegistry(`h${i}`, false));
		await clock.tickAsync(10);
		owner.stop();
		const {rows} = await store.read({table: hostTable, part: ''});
		for (const host of hosts) {
			for (const row of rows) {
				host.apply(row);
			}
		}

		const before = store.counts.commits;
		for (let ms = 0; ms < 1700; ms += 50) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(50);
			for (const host of hosts) {
				host.recordContact();
				host.isGone(owner.incarnation, 0);
			}
		}

		// Without ranking, each of them would have written two or three.
		expect(store.counts.commits - before).to.be.within(1, 120);
	});

	it('continues sending heartbeats while one of them is unanswered', async () => {
		const view = store.createView();
		createRegistry('a', true, {rows: view});
		await clock.tickAsync(1000);
		view.switches.silentMs = 700;
		await clock.tickAsync(400);
		view.switches.silentMs = 0;
		const before = view.counts.commits;
		await clock.tickAsync(450);
		expect(view.counts.commits - before).to.equal(1);
	});

	it('lists the addresses of other hosts, and the hosts that are alive', async () => {
		const linked = new HostRegistry({
			rows: store, host: 'c', address: '127.0.0.1:7', log: createSilentLog(), hasWork: () => true,
		});
		registries.push(linked);
		linked.start();
		const other = createRegistry('b', false);
		await run(other, 1000);
		expect(other.listPeers()).to.deep.equal(['127.0.0.1:7']);
		expect(other.listLive().map(({host, isResting}) => [host, isResting])).to.have.deep.members([['c', false], ['b', true]]);
		await linked.leave();
		await run(other, 100);
		expect(other.listLive().map(({host}) => host)).to.deep.equal(['b']);
	});
});
