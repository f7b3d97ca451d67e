import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {UsageStore} from '../src/index.js';
import {
	createWorld, dueMs, windowMs, type Host, type World,
} from './fixtures.js';

/** Beginning of the first window of a test; a whole number of windows. */
const startMs = windowMs * 1000;
const firstWindow = startMs / windowMs;

describe('Usage', () => {
	let clock: Clock;
	let world: World;
	let hosts: Host[];

	/** Moves on to a time after the beginning of the first window. */
	async function moveTo(ms: number): Promise<void> {
		await clock.tickAsync(startMs + ms - Date.now());
	}

	/** Counts requests at a host. */
	function call(host: number, customer: string, times = 1): void {
		for (let i = 0; i < times; i += 1) {
			hosts[host]!.teller.begin(customer);
		}
	}

	function readCounts(window = 0): Record<string, number> | undefined {
		return world.duties.readAccepted().get(firstWindow + window);
	}

	/** Milliseconds after a window's end at which it was first accepted. */
	function findDelay(window = 0): number {
		const first = world.duties.performed.find(call => call.window === firstWindow + window);
		return first ? first.at - (startMs + ((window + 1) * windowMs)) : Number.POSITIVE_INFINITY;
	}

	beforeEach(() => {
		clock = install({now: startMs});
		world = createWorld();
		hosts = ['a', 'b', 'c'].map(name => world.createHost(name));
		world.pass('a');
	});

	afterEach(() => {
		expect(world.duties.breaches).to.deep.equal([]);
		for (const host of hosts) {
			host.kill();
		}

		clock.uninstall();
	});

	it('sends no report that may arrive after the duty has passed on, and sends it once the duty lasts', async () => {
		world.duty.leftMs = 1000;
		call(0, 'x', 2);
		await moveTo(windowMs + 4000);
		expect(readCounts()).to.equal(undefined);
		world.duty.leftMs = 2700;
		await moveTo(windowMs + 6000);
		expect(readCounts()).to.deep.equal({x: 2});
	});

	it('reports what all hosts have counted, soon after the window\'s end, also of a window without a request', async () => {
		await moveTo(1000);
		call(0, 'x', 2);
		call(1, 'x');
		call(2, 'y', 3);
		await moveTo(12_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 3, y: 3}, {}]);
		expect(findDelay()).to.be.below(2000);
	});

	it('takes back what was proven not to have run', async () => {
		await moveTo(1000);
		call(0, 'x');
		const mark = hosts[1]!.teller.begin('x');
		await clock.tickAsync(300);
		mark.undo();
		mark.undo();
		await moveTo(8000);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('counts what began at the end of a window there', async () => {
		await moveTo(4999);
		call(0, 'x');
		await moveTo(5000);
		call(0, 'x', 2);
		await moveTo(12_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 1}, {x: 2}]);
	});

	it('reports within its time what a killed host has counted until a moment before', async () => {
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
		await hosts[1]!.teller.leave();
		await moveTo(18_000);
		expect(readCounts(1)).to.deep.equal({x: 1});
		expect([findDelay(1) < 2000, findDelay(2) < 2000]).to.deep.equal([true, true]);
	});

	it('does not wait for a host that has left while the store was slow to take its counts', async () => {
		await moveTo(6000);
		hosts[1]!.store.switches.delayMs = 300;
		call(1, 'x');
		// The write of this count is on its way when the process leaves.
		await moveTo(6200);
		call(1, 'x');
		const left = hosts[1]!.teller.leave();
		await moveTo(18_000);
		await left;
		expect(readCounts(1)).to.deep.equal({x: 2});
		expect([findDelay(1) < 2000, findDelay(2) < 2000]).to.deep.equal([true, true]);
	});

	it('waits for a host that does not reach the store for some seconds', async () => {
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

	it('has a successor send the very same if the holder is lost between writing a report and sending it', async () => {
		await moveTo(1000);
		call(0, 'x');
		call(1, 'y');
		world.duties.switches.isDown = true;
		await moveTo(6500);
		hosts[0]!.kill();
		// What is told after the report was fixed changes nothing of it.
		await new UsageStore(world.root).tell([{
			window: firstWindow, host: 'd', incarnation: 'd-1', revision: 0, isFinal: true, isLast: true, counts: new Map([['z', 1]]),
		}]);
		world.duties.switches.isDown = false;
		world.pass('b');
		await moveTo(9000);
		expect(readCounts()).to.deep.equal({x: 1, y: 1});
		expect(world.duties.performed[0]).to.include({holder: 'b', fence: 2});
	});

	it('tells the same again after a lost answer, and once more if a successor does not know', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.answersToLose = 2;
		await moveTo(8000);
		expect(world.duties.performed.filter(({window}) => window === firstWindow)).to.have.length(3);
	});

	it('lets a call that is performed late be refused, and has the window told by the successor', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.callsToDelay = 1;
		await moveTo(5400);
		while (world.duties.switches.callsToDelay > 0) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(10);
		}

		world.pass('b');
		await moveTo(12_000);
		expect(world.duties.fenced.map(({holder}) => holder)).to.deep.equal(['a']);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('sends nothing more under a fence that was refused', async () => {
		await moveTo(6000);
		world.pass('b');
		await moveTo(12_000);
		// As if the first holder had not noticed.
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
		world.pass('c');
		await moveTo(23_000);
		expect([readCounts(0), readCounts(1), readCounts(2)]).to.deep.equal([{}, {}, {}]);
	});

	it('makes up for the windows of an outage of the store, in their order', async () => {
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

	it('fixes a report once though the answer to its writing was lost', async () => {
		await moveTo(1000);
		call(0, 'x');
		await moveTo(5000);
		hosts[0]!.store.switches.answersToLose = 4;
		await moveTo(12_000);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('does not ask in a tight loop when the store refuses a report that nobody can read', async () => {
		await moveTo(1000);
		for (const host of hosts) {
			host.store.switches.hiddenTables = new Set(['usage-reports']);
		}

		await moveTo(6500);
		world.pass('b');
		const {commits} = hosts[1]!.store.counts;
		await moveTo(9500);
		expect(hosts[1]!.store.counts.commits - commits).to.be.below(20);
		for (const host of hosts) {
			host.store.switches.hiddenTables = new Set();
		}

		await moveTo(16_500);
		expect([readCounts(0), readCounts(1)]).to.deep.equal([{}, {}]);
	});

	it('does not go back to counts whose writing the store has performed late', async () => {
		await moveTo(4000);
		hosts[1]!.store.switches.writesToDelay = 1;
		hosts[1]!.store.switches.lateMs = 1500;
		call(1, 'x');
		await moveTo(4300);
		call(1, 'x');
		// The first write is performed after the second one, and before the window is closed.
		hosts[2]!.store.switches.isDown = true;
		await moveTo(8000);
		hosts[2]!.store.switches.isDown = false;
		await moveTo(14_000);
		expect([readCounts(), readCounts(1)]).to.deep.equal([{x: 2}, {}]);
	});

	it('goes on when the platform takes no more calls at a time', async () => {
		await moveTo(1000);
		call(0, 'x');
		world.duties.switches.callsToLimit = 3;
		await moveTo(8500);
		expect(readCounts()).to.deep.equal({x: 1});
	});

	it('keeps no rows of windows that are long over', async () => {
		await moveTo(100 * windowMs);
		// Those of 48 windows are kept, and of up to 12 more until the next removal.
		const mostWindows = 48 + 12 + 2;
		const ranges = [{table: 'usage-reports', part: ''}, ...['u0', 'u1', 'u2', 'u3'].map(part => ({table: 'usage-counts', part}))];
		const pages = await Promise.all(ranges.map(async range => world.root.read({...range, limit: 500})));
		const [reports, ...counts] = pages.map(({rows}) => rows.length);
		expect(reports).to.be.within(48, mostWindows);
		expect(counts.reduce((sum, length) => sum + length, 0)).to.be.within(48 * hosts.length, mostWindows * hosts.length);
	});
});
