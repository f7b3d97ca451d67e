import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {RationSource, Want} from '@wasabiusher/slots';
import {createBench} from './fixtures.js';

const need = {
	service: 's', oldestVersion: {model: 'm', version: 1}, openLimit: 1, dueInMs: 1000,
};

/** Rations that a test sets. */
class FakeSource implements RationSource {
	readonly limits = new Map<string, number>();
	/** What was told last of each endpoint. */
	readonly told = new Map<string, {filled: number; wants: readonly Want[]}>();
	readonly #listeners: Array<() => void> = [];

	findLimit(endpoint: string): number | undefined {
		return this.limits.get(endpoint);
	}

	want({endpoint, ...wish}: Parameters<RationSource['want']>[0]): void {
		this.told.set(endpoint, wish);
	}

	onChange(listener: () => void): () => void {
		this.#listeners.push(listener);
		return () => undefined;
	}

	give(endpoint: string, slots: number): void {
		this.limits.set(endpoint, slots);
		for (const listener of this.#listeners) {
			listener();
		}
	}
}

describe('SlotLimits', () => {
	let clock: Clock;
	let source: FakeSource;

	beforeEach(() => {
		clock = install();
		source = new FakeSource();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function share(count: number) {
		const {directory} = createBench(count);
		return {directory, limits: directory.shareSlots(source)};
	}

	function createNeed(id: string, urgency = 1) {
		return {...need, waiter: {id, urgency}};
	}

	it('leaves out endpoints whose ration is used up, for those that can wait', () => {
		const {directory} = share(1);
		source.give('i0', 1);
		expect(directory.acquire(createNeed('a'))?.id).to.equal('i0');
		expect(directory.acquire(createNeed('b'))).to.equal(undefined);
		expect(directory.acquire({service: 's'})?.id).to.equal('i0');
	});

	it('wants one slot of one endpoint for each that waits, spread over those that fit', () => {
		const {directory} = share(2);
		for (const id of ['i0', 'i1']) {
			source.give(id, 0);
		}

		for (let i = 0; i < 6; i += 1) {
			directory.acquire(createNeed(`w${i}`, i < 2 ? 0 : 1));
			directory.acquire(createNeed(`w${i}`, i < 2 ? 0 : 1));
		}

		const told = [...source.told.values()];
		expect(told.map(({wants}) => wants.reduce((sum, {count}) => sum + count, 0))).to.deep.equal([3, 3]);
		expect(told[0]!.wants.map(({urgency, count, dueInMs}) => [urgency, count, dueInMs])).to.deep.equal([[0, 1, 1000], [1, 2, 1000]]);
	});

	it('takes back what was wanted once that is served, here or elsewhere, or has left', async () => {
		const {directory, limits} = share(1);
		source.give('i0', 0);
		directory.acquire(createNeed('a'));
		directory.acquire(createNeed('b'));
		source.give('i0', 1);
		expect(directory.acquire(createNeed('a'))?.id).to.equal('i0');
		expect(source.told.get('i0')).to.deep.include({filled: 1, wants: [{urgency: 1, count: 1, dueInMs: 1000}]});
		await clock.tickAsync(400);
		limits.tick();
		expect(source.told.get('i0')).to.deep.include({filled: 1, wants: []});
		directory.release('i0');
		expect(source.told.get('i0')).to.deep.include({filled: 0});
	});

	it('wants another endpoint after a moment in vain, and moves a run without a ration', async () => {
		const {directory} = share(2);
		for (const id of ['i0', 'i1']) {
			source.give(id, 0);
			for (let i = 0; i < 30; i += 1) {
				directory.recordPace(id, id === 'i0' ? 40 : 160);
			}
		}

		directory.acquire(createNeed('a'));
		expect(source.told.get('i0')?.wants).to.have.length(1);
		for (let i = 0; i < 3; i += 1) {
			directory.acquire({...createNeed(`b${i}`), excluded: new Set(['i1'])});
		}

		await clock.tickAsync(120);
		directory.acquire({...createNeed('a'), excluded: new Set(['i0'])});
		expect(source.told.get('i1')?.wants).to.have.length(1);
		expect(directory.acquireBetter('i1', createNeed('moving'), false)?.id).to.equal('i0');
	});

	it('tells nothing of an endpoint at which nothing waits and half of the slots are enough', () => {
		const {directory} = share(1);
		directory.acquire(createNeed('a'));
		directory.acquire(createNeed('b'));
		expect(source.told.size).to.equal(0);
		directory.acquire(createNeed('c'));
		expect(source.told.get('i0')).to.deep.equal({filled: 3, wants: []});
	});

	it('fills half of what others leave without asking, and tells of others only what an endpoint has just told', async () => {
		const {directory, limits} = share(1);
		expect([limits.findFreePart('i0'), limits.findFreePart('unknown')]).to.deep.equal([2, 1]);
		for (const id of ['a', 'b', 'c']) {
			directory.acquire(createNeed(id));
		}

		directory.recordHead('i0', {
			status: 200, headers: {}, isNotRun: false, stamp: undefined, load: {running: 4, waiting: 1, slots: 4}, weightVersion: undefined, isFramed: true, isClosing: false,
		});
		expect(limits.findFreePart('i0')).to.equal(1);
		limits.tick();
		expect(source.told.get('i0')).to.deep.equal({filled: 3, wants: [], others: 2});
		await clock.tickAsync(60);
		limits.tick();
		expect(source.told.get('i0')).to.deep.equal({filled: 3, wants: []});
	});

	it('tells of an endpoint that has turned one away since it was full, and wakes those that wait when a ration comes', () => {
		const {directory} = share(1);
		let woken = 0;
		directory.onChange(() => {
			woken += 1;
		});
		directory.acquire(createNeed('a'));
		directory.recordHead('i0', {
			status: 503, headers: {}, isNotRun: true, stamp: undefined, load: {running: 4, waiting: 2, slots: 4}, weightVersion: undefined, isFramed: true, isClosing: false,
		});
		expect(source.told.get('i0')).to.deep.include({filled: 1, others: 5});
		source.give('i0', 2);
		expect(woken).to.equal(1);
	});
});
