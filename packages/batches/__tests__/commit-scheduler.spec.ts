import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {CommitScheduler, type CommitOutcome, type Committer} from '../src/commit-scheduler.js';

/** A list with `left` pending results; each transaction takes 10 ms and writes one of them. */
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

describe('CommitScheduler', () => {
	let clock: Clock;
	let isOpen: boolean;
	let scheduler: CommitScheduler;

	beforeEach(() => {
		clock = install();
		isOpen = true;
		scheduler = new CommitScheduler({isOpen: () => isOpen, chance: () => 0.5});
	});

	afterEach(() => {
		scheduler.stop();
		clock.uninstall();
	});

	it('commits all pending results, with at most one concurrent transaction of a batch and four in total', async () => {
		const lists = ['1', '1', '2', '3', '4', '5'].map(batch => new FakeList(batch, 2));
		for (const list of lists) {
			scheduler.schedule(list);
		}

		await clock.tickAsync(15);
		expect(lists.filter(({startedAt}) => startedAt.length === 1).map(({batch}) => batch)).to.deep.equal(['1', '2', '3', '4']);
		await clock.tickAsync(300);
		expect(lists.map(({left}) => left)).to.deep.equal([0, 0, 0, 0, 0, 0]);
		const [first, second] = lists;
		const overlaps = first!.startedAt.some(a => second!.startedAt.some(b => Math.abs(a - b) < 10));
		expect(overlaps).to.equal(false);
	});

	it('sends nothing while the store is unreachable, and commits immediately when released', async () => {
		const list = new FakeList('1', 1);
		isOpen = false;
		scheduler.schedule(list);
		await clock.tickAsync(7030);
		expect(list.startedAt).to.deep.equal([]);
		isOpen = true;
		scheduler.release();
		expect(list.startedAt).to.deep.equal([7030]);
	});

	it('notices without a release that the store is reachable again', async () => {
		const list = new FakeList('1', 1);
		isOpen = false;
		scheduler.schedule(list);
		await clock.tickAsync(1000);
		isOpen = true;
		await clock.tickAsync(50);
		expect(list.startedAt).to.have.length(1);
	});

	it('backs off from a store that refuses because of its rate limit, and soon recovers once it accepts writes', async () => {
		const list = new FakeList('1', 1);
		list.outcome = 'limited';
		scheduler.schedule(list);
		await clock.tickAsync(2000);
		expect(list.startedAt.length).to.be.within(4, 6);
		expect(scheduler.counts).to.deep.equal({
			written: 0, raced: 0, limited: list.startedAt.length, failed: 0,
		});
		list.outcome = 'written';
		await clock.tickAsync(800);
		expect(list.left).to.equal(0);
	});

	it('does not commit a list that was removed', async () => {
		const list = new FakeList('1', 1);
		scheduler.schedule(list);
		scheduler.remove(list);
		await clock.tickAsync(100);
		expect(list.startedAt).to.deep.equal([]);
	});
});
