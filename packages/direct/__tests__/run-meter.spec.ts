import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {DirectCall, StreamCall, type RunMeter} from '../src/index.js';
import {
	createBench, createRequest, createRoute, type Bench,
} from './fixtures.js';

/** Counts by customer. */
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

describe('what counts as begun', () => {
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

	it('is a request that was answered, once', async () => {
		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('is one request, however many endpoints were asked', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 80;
		}

		await call('x');
		expect(bench.endpoints.filter(({runs}) => runs.length > 0).length).to.be.above(1);
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('is not what every endpoint has proven not to have run', async () => {
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 0]]);
	});

	it('is what ran after others had refused it, and what ran and lost its answer', async () => {
		bench.endpoints[0]!.switches.isFull = true;
		bench.endpoints[1]!.switches.isDown = true;
		bench.endpoints[2]!.switches.answersToLose = 1;
		await call('x');
		expect([...meter.counts]).to.deep.equal([['x', 1]]);
	});

	it('is not a request of nobody\'s', async () => {
		await call(undefined);
		expect([...meter.counts]).to.deep.equal([]);
	});

	it('is a stream that has begun, and not one that was refused', async () => {
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
