import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {defaultPolicy, Lateness, type Policy} from '@wasabiusher/decisions';
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

	it('begins anew with an endpoint that has started again under its name: versions, pace, pauses', () => {
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

	it('leaves out what the policy switches off: moves, pauses after refusals and silences, preference by pace', () => {
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
		const [pausing, asking] = [prepare({}), prepare({pausesAfterRefusals: false, pausesAfterSilences: false})];
		for (const one of [pausing, asking]) {
			for (const id of ['i', 'slow']) {
				one.recordHead(id, refusal);
				one.recordSilence(id);
			}
		}

		expect([pausing.acquire({service: 's'}), asking.acquire({service: 's'})?.service]).to.deep.equal([undefined, 's']);
	});

	it('tells refused callers to come back one after the other, at the rate at which the service drains', () => {
		directory.put(createEndpoint({slots: 2}));
		for (let i = 0; i < 30; i += 1) {
			directory.recordPace('i', 100);
		}

		directory.acquire({service: 's'});
		directory.acquire({service: 's'});
		expect([1, 2, 3].map(() => directory.planRetryAfterMs('s'))).to.deep.equal([50, 85, 120]);
		expect(directory.planRetryAfterMs('other')).to.equal(100);
	});

	it('keeps away from a plain endpoint whose machine is disturbed, for as long as the disturbance lasts', () => {
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

	it('keeps what it knows of an endpoint that registers again without having started again', () => {
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 4}]}));
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 3}]}));
		expect(directory.findVersion('i', 'm')).to.equal(4);
	});

	it('learns the best pace of an endpoint from other processes, and forgets it', async () => {
		directory.put(createEndpoint());
		directory.learnPaces({i: 47, unknown: 30});
		expect(directory.findBestPaceMs('i')).to.equal(47);
		expect(directory.listOwnPaces(5)).to.deep.equal({});
		await clock.tickAsync(21_000);
		expect(directory.findBestPaceMs('i')).to.equal(undefined);
	});

	it('tells of all endpoints that it has measured, by turns where they are too many for once', () => {
		const ids = ['a', 'b', 'c', 'd', 'e'];
		for (const [i, id] of ids.entries()) {
			directory.put(createEndpoint({id}));
			directory.recordRunPace(id, 40 + i);
		}

		expect([...new Set([2, 2, 2].flatMap(most => Object.keys(directory.listOwnPaces(most))))].toSorted()).to.deep.equal(ids);
		expect(Object.keys(directory.listOwnPaces(9))).to.have.length(5);
	});

	it('tells the best of its own paces, not one of a slow spell', async () => {
		directory.put(createEndpoint());
		for (const paceMs of [40, 150]) {
			directory.recordRunPace('i', paceMs);
			// Runs follow one another.
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20 * paceMs);
		}

		expect(directory.listOwnPaces(5)).to.deep.equal({i: 40});
	});

	it('learns no pace and moves no run while this process is late with its own work', () => {
		const lateness = new Lateness();
		const late = new EndpointDirectory(new Random(1), defaultPolicy, lateness);
		late.put(createEndpoint());
		late.put(createEndpoint({id: 'slow'}));
		const record = (slowMs: number) => {
			for (let i = 0; i < 30; i += 1) {
				late.recordPace('i', 40);
				late.recordPace('slow', slowMs);
			}
		};

		lateness.record(50);
		record(300);
		expect(late.findBestPaceMs('slow')).to.equal(undefined);
		expect(late.findLastReceivedAt('slow')).to.equal(performance.now());
		for (let i = 0; i < 6; i += 1) {
			lateness.record(0);
		}

		record(160);
		expect(late.acquireBetter('slow', {service: 's'}, false)).not.to.equal(undefined);
		lateness.record(50);
		expect(late.acquireBetter('slow', {service: 's'}, false)).to.equal(undefined);
	});

	it('fills its own endpoints, and others one attempt at a time until they tell that they have room', () => {
		for (const id of ['home', 'b', 'c']) {
			directory.put(createEndpoint({id}));
		}

		const need = {service: 's', dedicated: new Set(['home']), openLimit: 1};
		const take = () => directory.acquire(need)?.id;
		expect([take(), take(), take(), take()]).to.deep.equal(['home', 'home', 'home', 'home']);
		const other = take()!;
		expect(['b', 'c']).to.include(other);
		clock.tick(50);
		expect(take()).to.equal(undefined);
		const head = {
			status: 200, headers: {}, isNotRun: false, stamp: undefined, weightVersion: 1, isFramed: true, isClosing: false,
		};
		// None of its four slots is taken by others, so that half of them may be used.
		directory.recordHead(other, {...head, load: {running: 1, waiting: 0, slots: 4}});
		// One more fits there, and one may find out about the last endpoint.
		const [last, again] = [take()!, take()!].toSorted((x, y) => Number(x === other) - Number(y === other));
		expect(again).to.equal(other);
		expect(last).to.equal(other === 'b' ? 'c' : 'b');
		expect(take()).to.equal(undefined);
		clock.tick(50);
		directory.recordHead(last!, {...head, load: {running: 4, waiting: 2, slots: 4}});
		expect(take()).to.equal(undefined);
		clock.tick(1100);
		// What was told is too old by now; only where nothing of its own is open may it find out again.
		expect(take()).to.equal(undefined);
		directory.release(last!);
		expect(take()).to.equal(last);
	});

	it('takes no endpoint for slow that is disturbed for a moment, and one that is lastingly', () => {
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
		const need = {service: 's', avoidsSlow: true, excluded: new Set(['a', 'b'])};
		expect(directory.acquire(need)?.id).to.equal('c');
		for (let i = 0; i < 40; i += 1) {
			directory.recordPace('c', 75);
		}

		expect(directory.acquire(need)).to.equal(undefined);
	});
});
