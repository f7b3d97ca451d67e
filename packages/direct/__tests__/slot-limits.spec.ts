import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {AllocationSource, QueuedWork} from '@wasabiusher/slots';
import {createBench} from './fixtures.js';

const requirement = {
	service: 's', oldestVersion: {model: 'm', version: 1}, openLimit: 1, dueInMs: 1000,
};

/** Slot allocations that a test sets. */
class FakeSource implements AllocationSource {
	readonly limits = new Map<string, number>();
	/** The last report of each endpoint. */
	readonly reports = new Map<string, {filled: number; wants: readonly QueuedWork[]}>();
	readonly #listeners: Array<() => void> = [];

	findLimit(endpoint: string): number | undefined {
		return this.limits.get(endpoint);
	}

	updateDemand({endpoint, ...report}: Parameters<AllocationSource['updateDemand']>[0]): void {
		this.reports.set(endpoint, report);
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

	function createRequirement(id: string, urgency = 1) {
		return {...requirement, waiter: {id, urgency}};
	}

	it('skips endpoints whose allocation is used up, for requests that can wait', () => {
		const {directory} = share(1);
		source.give('i0', 1);
		expect(directory.acquire(createRequirement('a'))?.id).to.equal('i0');
		expect(directory.acquire(createRequirement('b'))).to.equal(undefined);
		expect(directory.acquire({service: 's'})?.id).to.equal('i0');
	});

	it('requests one slot of one endpoint per waiter, spread over the eligible endpoints', () => {
		const {directory} = share(2);
		for (const id of ['i0', 'i1']) {
			source.give(id, 0);
		}

		for (let i = 0; i < 6; i += 1) {
			directory.acquire(createRequirement(`w${i}`, i < 2 ? 0 : 1));
			directory.acquire(createRequirement(`w${i}`, i < 2 ? 0 : 1));
		}

		const reported = [...source.reports.values()];
		expect(reported.map(({wants}) => wants.reduce((sum, {count}) => sum + count, 0))).to.deep.equal([3, 3]);
		expect(reported[0]!.wants.map(({urgency, count, dueInMs}) => [urgency, count, dueInMs])).to.deep.equal([[0, 1, 1000], [1, 2, 1000]]);
	});

	it('withdraws the slot request of a waiter that is served or has left', async () => {
		const {directory, limits} = share(1);
		source.give('i0', 0);
		directory.acquire(createRequirement('a'));
		directory.acquire(createRequirement('b'));
		source.give('i0', 1);
		expect(directory.acquire(createRequirement('a'))?.id).to.equal('i0');
		expect(source.reports.get('i0')).to.deep.include({filled: 1, wants: [{urgency: 1, count: 1, dueInMs: 1000}]});
		await clock.tickAsync(400);
		limits.tick();
		expect(source.reports.get('i0')).to.deep.include({filled: 1, wants: []});
		directory.release('i0');
		expect(source.reports.get('i0')).to.deep.include({filled: 0});
	});

	it('requests a slot of another endpoint after a short time without a grant, and moves a run without an allocation', async () => {
		const {directory} = share(2);
		for (const id of ['i0', 'i1']) {
			source.give(id, 0);
			for (let i = 0; i < 30; i += 1) {
				directory.recordPace(id, id === 'i0' ? 40 : 160);
			}
		}

		directory.acquire(createRequirement('a'));
		expect(source.reports.get('i0')?.wants).to.have.length(1);
		for (let i = 0; i < 3; i += 1) {
			directory.acquire({...createRequirement(`b${i}`), excluded: new Set(['i1'])});
		}

		await clock.tickAsync(120);
		directory.acquire({...createRequirement('a'), excluded: new Set(['i0'])});
		expect(source.reports.get('i1')?.wants).to.have.length(1);
		expect(directory.acquireBetter('i1', createRequirement('moving'), false)?.id).to.equal('i0');
	});

	it('reports nothing of an endpoint without waiters at which half of the slots suffice', () => {
		const {directory} = share(1);
		directory.acquire(createRequirement('a'));
		directory.acquire(createRequirement('b'));
		expect(source.reports.size).to.equal(0);
		directory.acquire(createRequirement('c'));
		expect(source.reports.get('i0')).to.deep.equal({filled: 3, wants: []});
	});

	it('fills half of the free slots without a grant, and reports requests of others only from a fresh load report', async () => {
		const {directory, limits} = share(1);
		expect([limits.findDefaultLimit('i0'), limits.findDefaultLimit('unknown')]).to.deep.equal([2, 1]);
		for (const id of ['a', 'b', 'c']) {
			directory.acquire(createRequirement(id));
		}

		directory.recordHead('i0', {
			status: 200, headers: {}, isNotRun: false, stamp: undefined, load: {running: 4, waiting: 1, slots: 4}, weightVersion: undefined, isFramed: true, isClosing: false,
		});
		expect(limits.findDefaultLimit('i0')).to.equal(1);
		limits.tick();
		expect(source.reports.get('i0')).to.deep.equal({filled: 3, wants: [], others: 2});
		await clock.tickAsync(60);
		limits.tick();
		expect(source.reports.get('i0')).to.deep.equal({filled: 3, wants: []});
	});

	it('reports an endpoint that has refused a request because it was full, and wakes the waiters at a new allocation', () => {
		const {directory} = share(1);
		let wakeUps = 0;
		directory.onChange(() => {
			wakeUps += 1;
		});
		directory.acquire(createRequirement('a'));
		directory.recordHead('i0', {
			status: 503, headers: {}, isNotRun: true, stamp: undefined, load: {running: 4, waiting: 2, slots: 4}, weightVersion: undefined, isFramed: true, isClosing: false,
		});
		expect(source.reports.get('i0')).to.deep.include({filled: 1, others: 5});
		source.give('i0', 2);
		expect(wakeUps).to.equal(1);
	});
});
