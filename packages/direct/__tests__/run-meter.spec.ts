import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {DirectCall, StreamCall, type RunMeter} from '../src/index.js';
import {
	createBench, createRequest, createRoute, type Bench,
} from './fixtures.js';

/** Counts requests by customer. */
class Counter implements RunMeter {
	readonly counts = new Map<string, number>();

	begin(customer: string) {
		this.#add(customer, 1);
		return {
			undo: () => {
				this.#add(customer, -1);
			},
		};
	}

	#add(customer: string, change: number): void {
		this.counts.set(customer, (this.counts.get(customer) ?? 0) + change);
	}
}

describe('the count of begun requests', () => {
	let clock: Clock;
	let bench: Bench;
	let meter: Counter;

	beforeEach(() => {
		clock = install();
		meter = new Counter();
		bench = {...createBench(3), meter};
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function call(customer: string | undefined): Promise<void> {
		const request = {...createRequest(), customer};
		const outcome = new DirectCall(bench, createRoute(), request, new AbortController().signal).run();
		await clock.tickAsync(1100);
		await outcome;
	}

	it('includes an answered request once', async () => {
		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('includes a request once for any number of endpoints that were tried', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 80;
		}

		await call('x');
		expect(bench.endpoints.filter(({runs}) => runs.length > 0).length).to.be.above(1);
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('excludes a request that every endpoint has proven not to have run', async () => {
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 0]]);
	});

	it('includes a request that ran after refusals and lost its answer', async () => {
		bench.endpoints[0]!.switches.isFull = true;
		bench.endpoints[1]!.switches.isDown = true;
		bench.endpoints[2]!.switches.answersToLose = 1;
		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('excludes a request without a customer', async () => {
		await call(undefined);
		expect([...meter.counts]).to.deep.equal([]);
	});

	it('includes a stream that has begun, and excludes one that was refused', async () => {
		const request = {...createRequest(), customer: 'x'};
		const opened = new StreamCall(bench, createRoute({kind: 'stream'}), request, new AbortController().signal).open();
		await clock.tickAsync(50);
		await opened;
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		const refused = new StreamCall(bench, createRoute({kind: 'stream'}), request, new AbortController().signal).open();
		await clock.tickAsync(50);
		await refused;
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});
});
