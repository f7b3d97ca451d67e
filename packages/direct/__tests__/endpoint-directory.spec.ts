import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {defaultPolicy, EventLoopLag, type Policy} from '@wasabiusher/decisions';
import {Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import {EndpointDirectory} from '../src/index.js';

function createEndpoint(changes: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
	return {
		id: 'i', service: 's', address: 'a', dataCentre: 'd', slots: 4, isDraining: false, models: [{model: 'm', version: 1}], orderCount: 0, coldMs: 0, ...changes,
	};
}

describe('EndpointDirectory', () => {
	let clock: Clock;
	let directory: EndpointDirectory;

	beforeEach(() => {
		clock = install();
		directory = new EndpointDirectory(new Random(1));
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('resets versions, pace and pauses of an endpoint that has restarted under its id', () => {
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 4}]}));
		directory.recordFailure('i');
		for (let i = 0; i < 10; i += 1) {
			directory.recordPace('i', 120);
		}

		directory.recordRunPace('i', 120);
		expect(directory.acquire({service: 's'})).to.equal(undefined);
		directory.put(createEndpoint({orderCount: 0, models: [{model: 'm', version: 3}]}));
		expect(directory.findVersion('i', 'm')).to.equal(3);
		expect(directory.findBestPaceMs('i')).to.equal(undefined);
		expect(directory.acquire({service: 's'})?.id).to.equal('i');
	});

	it('disables moves, pauses after refusals and silences, and preference by pace by policy', () => {
		const refusal = {
			status: 503, headers: {}, isNotRun: true, stamp: undefined, load: undefined, weightVersion: undefined, isFramed: true, isClosing: false,
		};
		const prepare = (changes: Partial<Policy>) => {
			const changed = new EndpointDirectory(new Random(1), {...defaultPolicy, ...changes});
			changed.put(createEndpoint());
			changed.put(createEndpoint({id: 'slow'}));
			for (let i = 0; i < 30; i += 1) {
				changed.recordPace('i', 40);
				changed.recordPace('slow', 160);
			}

			return changed;
		};

		expect([prepare({}), prepare({movesRuns: false})].map(one => one.acquireBetter('slow', {service: 's'}, false) !== undefined)).to.deep.equal([true, false]);
		const chosen = (one: EndpointDirectory) => new Set(Array.from({length: 8}, () => {
			const {id} = one.acquire({service: 's'})!;
			one.release(id);
			return id;
		})).size;
		expect([prepare({prefersConnected: false}), prepare({prefersConnected: false, weighsPaces: false})].map(one => chosen(one))).to.deep.equal([1, 2]);
		const [pausing, retrying] = [prepare({}), prepare({pausesAfterRefusals: false, pausesAfterSilences: false})];
		for (const one of [pausing, retrying]) {
			for (const id of ['i', 'slow']) {
				one.recordHead(id, refusal);
				one.recordSilence(id);
			}
		}

		expect([pausing.acquire({service: 's'}), retrying.acquire({service: 's'})?.service]).to.deep.equal([undefined, 's']);
	});

	it('spreads the retry times of refused callers by the rate at which the service frees slots', () => {
		directory.put(createEndpoint({slots: 2}));
		for (let i = 0; i < 30; i += 1) {
			directory.recordPace('i', 100);
		}

		directory.acquire({service: 's'});
		directory.acquire({service: 's'});
		expect([1, 2, 3].map(() => directory.planRetryAfterMs('s'))).to.deep.equal([50, 85, 120]);
		expect(directory.planRetryAfterMs('other')).to.equal(100);
	});

	it('avoids an endpoint that reports transient slowness, until the slowness ends', () => {
		directory = new EndpointDirectory(new Random(1), {...defaultPolicy, prefersConnected: false});
		for (const id of ['a', 'b', 'c']) {
			directory.put(createEndpoint({id}));
		}

		const choose = () => new Set(Array.from({length: 30}, () => {
			const {id} = directory.acquire({service: 's'})!;
			directory.release(id);
			clock.tick(5);
			return id;
		}));
		choose();
		directory.recordHead('a', {
			status: 200, headers: {}, isNotRun: false, stamp: 's', weightVersion: undefined, isFramed: true, isClosing: false,
			load: {
				running: 0, waiting: 0, slots: 4, slowness: 2.5,
			},
		});
		expect([...choose()]).to.not.include('a');
		clock.tick(600);
		expect([...choose()]).to.include('a');
	});

	it('keeps the state of an endpoint that registers again without a restart', () => {
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 4}]}));
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 3}]}));
		expect(directory.findVersion('i', 'm')).to.equal(4);
	});

	it('records the best pace that other processes report of an endpoint, and expires it', async () => {
		directory.put(createEndpoint());
		directory.recordReportedPaces({i: 47, unknown: 30});
		expect(directory.findBestPaceMs('i')).to.equal(47);
		expect(directory.listOwnPaces(5)).to.deep.equal({});
		await clock.tickAsync(21_000);
		expect(directory.findBestPaceMs('i')).to.equal(undefined);
	});

	it('reports all endpoints that it has measured, in rotation if they exceed one report', () => {
		const ids = ['a', 'b', 'c', 'd', 'e'];
		for (const [i, id] of ids.entries()) {
			directory.put(createEndpoint({id}));
			directory.recordRunPace(id, 40 + i);
		}

		expect([...new Set([2, 2, 2].flatMap(maxCount => Object.keys(directory.listOwnPaces(maxCount))))].toSorted()).to.deep.equal(ids);
		expect(Object.keys(directory.listOwnPaces(9))).to.have.length(5);
	});

	it('reports the best of its own paces, not one of a slow episode', async () => {
		directory.put(createEndpoint());
		for (const paceMs of [40, 150]) {
			directory.recordRunPace('i', paceMs);
			// Runs are sequential.
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20 * paceMs);
		}

		expect(directory.listOwnPaces(5)).to.deep.equal({i: 40});
	});

	it('records no pace and moves no run while the event loop of this process lags', () => {
		const eventLoopLag = new EventLoopLag();
		const lagging = new EndpointDirectory(new Random(1), defaultPolicy, eventLoopLag);
		lagging.put(createEndpoint());
		lagging.put(createEndpoint({id: 'slow'}));
		const record = (slowMs: number) => {
			for (let i = 0; i < 30; i += 1) {
				lagging.recordPace('i', 40);
				lagging.recordPace('slow', slowMs);
			}
		};

		eventLoopLag.record(50);
		record(300);
		expect(lagging.findBestPaceMs('slow')).to.equal(undefined);
		expect(lagging.findLastReceivedAt('slow')).to.equal(performance.now());
		for (let i = 0; i < 6; i += 1) {
			eventLoopLag.record(0);
		}

		record(160);
		expect(lagging.acquireBetter('slow', {service: 's'}, false)).not.to.equal(undefined);
		eventLoopLag.record(50);
		expect(lagging.acquireBetter('slow', {service: 's'}, false)).to.equal(undefined);
	});

	it('fills dedicated endpoints, and probes others with one attempt at a time until they report headroom', () => {
		for (const id of ['home', 'b', 'c']) {
			directory.put(createEndpoint({id}));
		}

		const requirement = {service: 's', dedicated: new Set(['home']), openLimit: 1};
		const acquire = () => directory.acquire(requirement)?.id;
		expect([acquire(), acquire(), acquire(), acquire()]).to.deep.equal(['home', 'home', 'home', 'home']);
		const other = acquire()!;
		expect(['b', 'c']).to.include(other);
		clock.tick(50);
		expect(acquire()).to.equal(undefined);
		const head = {
			status: 200, headers: {}, isNotRun: false, stamp: undefined, weightVersion: 1, isFramed: true, isClosing: false,
		};
		// Other processes use none of its four slots, so half of them may be used.
		directory.recordHead(other, {...head, load: {running: 1, waiting: 0, slots: 4}});
		// One more attempt fits there, and one may probe the last endpoint.
		const [last, again] = [acquire()!, acquire()!].toSorted((x, y) => Number(x === other) - Number(y === other));
		expect(again).to.equal(other);
		expect(last).to.equal(other === 'b' ? 'c' : 'b');
		expect(acquire()).to.equal(undefined);
		clock.tick(50);
		directory.recordHead(last!, {...head, load: {running: 4, waiting: 2, slots: 4}});
		expect(acquire()).to.equal(undefined);
		clock.tick(1100);
		// The load reports have expired; only an endpoint without open attempts of this process may be probed again.
		expect(acquire()).to.equal(undefined);
		directory.release(last!);
		expect(acquire()).to.equal(last);
	});

	it('counts persistently slow endpoints as slow, but not transiently slow ones', () => {
		const paces: Record<string, number> = {a: 25, b: 25, c: 36};
		for (const [id, paceMs] of Object.entries(paces)) {
			directory.put(createEndpoint({id, address: id}));
			for (let i = 0; i < 10; i += 1) {
				directory.recordPace(id, paceMs);
			}
		}

		directory.recordHead('c', {
			status: 200, headers: {}, isNotRun: false, stamp: 's', weightVersion: undefined, isFramed: true, isClosing: false, load: {
				running: 1, waiting: 0, slots: 4, slowness: 1.4,
			},
		});
		const requirement = {service: 's', avoidsSlow: true, excluded: new Set(['a', 'b'])};
		expect(directory.acquire(requirement)?.id).to.equal('c');
		for (let i = 0; i < 40; i += 1) {
			directory.recordPace('c', 75);
		}

		expect(directory.acquire(requirement)).to.equal(undefined);
	});
});
