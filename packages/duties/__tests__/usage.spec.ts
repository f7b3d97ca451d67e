import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {UsageStore} from '../src/index.js';
import {
	createWorld, dueMs, windowMs, type Host, type World,
} from './fixtures.js';

/** Start of the first window of a test; a multiple of the window length. */
const startMs = windowMs * 1000;
const firstWindow = startMs / windowMs;

describe('Usage', () => {
	let clock: Clock;
	let world: World;
	let hosts: Host[];

	/** Advances the clock to a time relative to the start of the first window, in milliseconds. */
	async function moveTo(ms: number): Promise<void> {
		await clock.tickAsync(startMs + ms - Date.now());
	}

	/** Counts requests of a customer on a host. */
	function call(host: number, customer: string, times = 1): void {
		for (let i = 0; i < times; i += 1) {
			hosts[host]!.recorder.begin(customer);
		}
	}

	function readCounts(window = 0): Record<string, number> | undefined {
		return world.duties.readAccepted().get(firstWindow + window);
	}

	/** Returns the time from a window's end until its report was first performed, in milliseconds. */
	function findDelay(window = 0): number {
		const first = world.duties.performed.find(call => call.window === firstWindow + window);
		return first ? first.at - (startMs + ((window + 1) * windowMs)) : Number.POSITIVE_INFINITY;
	}

	beforeEach(() => {
		clock = install({now: startMs});
		world = createWorld();
		hosts = ['a', 'b', 'c'].map(name => world.createHost(name));
		world.passDuty('a');
	});

	afterEach(() => {
		expect(world.duties.violations).to.deep.equal([]);
		for (const host of hosts) {
			host.kill();
		}

		clock.uninstall();
	});

	it('sends no report that may arrive after the end of the duty, and sends it once the duty lasts long enough', async () => {
		world.duty.remainingMs = 1000;
		call(0, 'x', 2);
		await moveTo(windowMs + 4000);
		expect(readCounts()).to.equal(undefined);
		world.duty.remainingMs = 2700;
		await moveTo(windowMs + 6000);
		expect(readCounts()).to.deep.equal({x: 2});
	});

	it('reports the counts of all hosts soon after the window\'s end, also for a window without requests', async () => {
		await moveTo(1000);
		call(0, 'x', 2);
		call(1, 'x');
		call(2, 'y', 3);
		await moveTo(12_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 3, y: 3}, {}]);
		expect(findDelay()).to.be.below(2000);
	});

	it('subtracts requests that have provably not run', async () => {
		await moveTo(1000);
		call(0, 'x');
		const mark = hosts[1]!.recorder.begin('x');
		await clock.tickAsync(300);
		mark.undo();
		mark.undo();
		await moveTo(8000);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('counts a request in the window in which it was sent', async () => {
		await moveTo(4999);
		call(0, 'x');
		await moveTo(5000);
		call(0, 'x', 2);
		await moveTo(12_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 1}, {x: 2}]);
	});

	it('reports the counts of a killed host in time, up to shortly before the kill', async () => {
		await moveTo(1000);
		call(1, 'x', 5);
		await moveTo(1250);
		hosts[1]!.kill();
		await moveTo(15_000);
		expect(readCounts()).to.deep.equal({x: 5});
		expect(findDelay()).to.be.below(dueMs);
	});

	it('does not wait for a host that has left', async () => {
		await moveTo(6000);
		call(1, 'x');
		await hosts[1]!.recorder.leave();
		await moveTo(18_000);
		expect(readCounts(1)).to.deep.equal({x: 1});
		expect([findDelay(1) < 2000, findDelay(2) < 2000]).to.deep.equal([true, true]);
	});

	it('does not wait for a host that has left while the store was slow to write its counts', async () => {
		await moveTo(6000);
		hosts[1]!.store.switches.delayMs = 300;
		call(1, 'x');
		// The write of this count is in flight when the process leaves.
		await moveTo(6200);
		call(1, 'x');
		const left = hosts[1]!.recorder.leave();
		await moveTo(18_000);
		await left;
		expect(readCounts(1)).to.deep.equal({x: 2});
		expect([findDelay(1) < 2000, findDelay(2) < 2000]).to.deep.equal([true, true]);
	});

	it('waits for a host that can not reach the store for some seconds', async () => {
		await moveTo(6000);
		hosts[2]!.store.switches.isDown = true;
		call(2, 'x');
		await moveTo(15_500);
		call(2, 'x', 2);
		await moveTo(16_000);
		hosts[2]!.store.switches.isDown = false;
		await moveTo(28_000);
		expect([readCounts(1), readCounts(2), readCounts(3)]).to.deep.equal([{x: 1}, {}, {x: 2}]);
		expect([1, 2, 3].every(window => findDelay(window) < dueMs)).to.equal(true);
	});

	it('lets a successor send the same report if the holder is lost between writing and sending it', async () => {
		await moveTo(1000);
		call(0, 'x');
		call(1, 'y');
		world.duties.switches.isDown = true;
		await moveTo(6500);
		hosts[0]!.kill();
		// Counts written after the report was fixed don't change it.
		await new UsageStore(world.root).writeCounts([{
			window: firstWindow, host: 'd', incarnation: 'd-1', revision: 0, isFinal: true, isLast: true, counts: new Map([['z', 1]]),
		}]);
		world.duties.switches.isDown = false;
		world.passDuty('b');
		await moveTo(9000);
		expect(readCounts()).to.deep.equal({x: 1, y: 1});
		expect(world.duties.performed[0]).to.include({holder: 'b', fence: 2});
	});

	it('sends the same report again after a lost answer, and once more by a successor that finds it unmarked', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.answersToLose = 2;
		await moveTo(8000);
		expect(world.duties.performed.filter(({window}) => window === firstWindow)).to.have.length(3);
	});

	it('lets a late call of the former holder be fenced, and reports the window by the successor', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.callsToDelay = 1;
		await moveTo(5400);
		while (world.duties.switches.callsToDelay > 0) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(10);
		}

		world.passDuty('b');
		await moveTo(12_000);
		expect(world.duties.fenced.map(({holder}) => holder)).to.deep.equal(['a']);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('sends nothing more with a rejected fence', async () => {
		await moveTo(6000);
		world.passDuty('b');
		await moveTo(12_000);
		// As if the first holder had not noticed the loss of the duty.
		world.duty.holder = 'a';
		world.duty.fence = 1;
		await moveTo(30_000);
		expect(world.duties.fenced).to.have.length(1);
		world.duty.fence = 3;
		await moveTo(36_000);
		expect(readCounts(5)).to.deep.equal({});
	});

	it('sends nothing without the duty', async () => {
		world.duty.holder = '';
		await moveTo(20_000);
		expect(world.duties.performed).to.deep.equal([]);
		world.passDuty('c');
		await moveTo(23_000);
		expect([readCounts(0), readCounts(1), readCounts(2)]).to.deep.equal([{}, {}, {}]);
	});

	it('reports the windows of a store outage afterwards, in order', async () => {
		await moveTo(4000);
		call(0, 'x');
		for (const host of hosts) {
			host.store.switches.isDown = true;
		}

		await moveTo(11_000);
		call(1, 'y');
		for (const host of hosts) {
			host.store.switches.isDown = false;
		}

		await moveTo(18_000);
		expect([readCounts(0), readCounts(1), readCounts(2)]).to.deep.equal([{x: 1}, {}, {y: 1}]);
		expect(world.duties.performed.map(({window}) => window - firstWindow)).to.deep.equal([0, 1, 2]);
	});

	it('fixes a report once if the answer to its write was lost', async () => {
		await moveTo(1000);
		call(0, 'x');
		await moveTo(5000);
		hosts[0]!.store.switches.answersToLose = 4;
		await moveTo(12_000);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('does not retry in a tight loop if the store rejects a report that can not be read', async () => {
		await moveTo(1000);
		for (const host of hosts) {
			host.store.switches.hiddenTables = new Set(['usage-reports']);
		}

		await moveTo(6500);
		world.passDuty('b');
		const {commits} = hosts[1]!.store.counts;
		await moveTo(9500);
		expect(hosts[1]!.store.counts.commits - commits).to.be.below(20);
		for (const host of hosts) {
			host.store.switches.hiddenTables = new Set();
		}

		await moveTo(16_500);
		expect([readCounts(0), readCounts(1)]).to.deep.equal([{}, {}]);
	});

	it('does not return to older counts that the store has written late', async () => {
		await moveTo(4000);
		hosts[1]!.store.switches.writesToDelay = 1;
		hosts[1]!.store.switches.lateMs = 1500;
		call(1, 'x');
		await moveTo(4300);
		call(1, 'x');
		// The store performs the first write after the second one and before the window is closed.
		hosts[2]!.store.switches.isDown = true;
		await moveTo(8000);
		hosts[2]!.store.switches.isDown = false;
		await moveTo(14_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 2}, {}]);
	});

	it('continues after the platform has rejected calls over its concurrency limit', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.callsToLimit = 3;
		await moveTo(8500);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('deletes the rows of windows that ended long ago', async () => {
		await moveTo(100 * windowMs);
		// Rows of 48 windows are kept, and of up to 12 more until the next deletion.
		const maxWindows = 48 + 12 + 2;
		const ranges = [{table: 'usage-reports', part: ''}, ...['u0', 'u1', 'u2', 'u3'].map(part => ({table: 'usage-counts', part}))];
		const pages = await Promise.all(ranges.map(async range => world.root.read({...range, limit: 500})));
		const [reports, ...counts] = pages.map(({rows}) => rows.length);
		expect(reports).to.be.within(48, maxWindows);
		expect(counts.reduce((sum, length) => sum + length, 0)).to.be.within(48 * hosts.length, maxWindows * hosts.length);
	});
});
