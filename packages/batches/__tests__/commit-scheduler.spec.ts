import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {CommitScheduler, type CommitOutcome, type Committer} from '../src/commit-scheduler.js';

/** A list with some results that wait; each transaction takes 10 ms and writes one. */
class FakeList implements Committer {
	readonly batch: string;
	readonly startedAt: number[] = [];
	outcome: CommitOutcome = 'written';
	left: number;

	constructor(batch: string, left: number) {
		this.batch = batch;
		this.left = left;
	}

	findDemand() {
		const demand = {
			completes: 0, openGroups: 1, priority: 0, addedAt: 0,
		};
		return this.left === 0 ? undefined : demand;
	}

	async commit() {
		this.startedAt.push(Date.now());
		await new Promise<void>(resolve => {
			setTimeout(resolve, 10);
		});
		this.left -= this.outcome === 'written' ? 1 : 0;
		return this.outcome;
	}
}

describe('CommitDesk', () => {
	let clock: Clock;
	let isOpen: boolean;
	let desk: CommitScheduler;

	beforeEach(() => {
		clock = install();
		isOpen = true;
		desk = new CommitScheduler({isOpen: () => isOpen, chance: () => 0.5});
	});

	afterEach(() => {
		desk.stop();
		clock.uninstall();
	});

	it('writes all that waits, with one transaction of a batch and four of all at a time', async () => {
		const lists = ['1', '1', '2', '3', '4', '5'].map(batch => new FakeList(batch, 2));
		for (const list of lists) {
			desk.schedule(list);
		}

		await clock.tickAsync(15);
		expect(lists.filter(({startedAt}) => startedAt.length === 1).map(({batch}) => batch)).to.deep.equal(['1', '2', '3', '4']);
		await clock.tickAsync(300);
		expect(lists.map(({left}) => left)).to.deep.equal([0, 0, 0, 0, 0, 0]);
		const [first, second] = lists;
		const overlaps = first!.startedAt.some(a => second!.startedAt.some(b => Math.abs(a - b) < 10));
		expect(overlaps).to.equal(false);
	});

	it('tries nothing while the store serves nobody, and writes in the moment in which it answers', async () => {
		const list = new FakeList('1', 1);
		isOpen = false;
		desk.schedule(list);
		await clock.tickAsync(7030);
		expect(list.startedAt).to.deep.equal([]);
		isOpen = true;
		desk.release();
		expect(list.startedAt).to.deep.equal([7030]);
	});

	it('finds a way that has opened without being told', async () => {
		const list = new FakeList('1', 1);
		isOpen = false;
		desk.schedule(list);
		await clock.tickAsync(1000);
		isOpen = true;
		await clock.tickAsync(50);
		expect(list.startedAt).to.have.length(1);
	});

	it('asks a store that refuses beyond its rates less and less often, and soon again once it takes something', async () => {
		const list = new FakeList('1', 1);
		list.outcome = 'limited';
		desk.schedule(list);
		await clock.tickAsync(2000);
		expect(list.startedAt.length).to.be.within(4, 6);
		expect(desk.counts).to.deep.equal({
			written: 0, raced: 0, limited: list.startedAt.length, failed: 0,
		});
		list.outcome = 'written';
		await clock.tickAsync(800);
		expect(list.left).to.equal(0);
	});

	it('forgets a list that stops', async () => {
		const list = new FakeList('1', 1);
		desk.schedule(list);
		desk.remove(list);
		await clock.tickAsync(100);
		expect(list.startedAt).to.deep.equal([]);
	});
});
