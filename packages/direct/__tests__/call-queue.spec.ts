import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Random, type Route} from '@wasabiusher/shared';
import {DirectCall, EndpointQueue, type CallOutcome} from '../src/index.js';
import {
	createBench, createRequest, createRoute, type Bench,
} from './fixtures.js';
import {createQueueingClient} from './queueing-client.js';

const slots = 4;
const objectiveMs = 150;

/** Calls per second of each route without a burst; both routes together use a third of the endpoints' capacity. */
const baseRate = 80;

/** Time before the burst, in milliseconds. */
const quietMs = 1000;

/** Outcome and duration of one call. */
type EndedCall = {route: string; kind: CallOutcome['kind']; tookMs: number};

/** Returns the quantile of the values for a fraction in [0, 1). */
function findQuantile(values: readonly number[], part: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length * part)] ?? 0;
}

describe('calls in the wait queue of their host', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Sends calls of two routes for two seconds after a quiet second. `burst` is the rate of one of them, in calls per second. */
	async function replay(burst: number): Promise<EndedCall[]> {
		const bench = createBench(4);
		const client = createQueueingClient(bench, slots, id => id === 'i0' ? 75 : 25);
		const settings = {...bench, client, queue: new EndpointQueue(bench.directory)};
		const random = new Random(7);
		const ended: EndedCall[] = [];
		const burstAt = performance.now() + quietMs;
		const send = async (route: Route) => {
			const startedAt = performance.now();
			const {kind} = await new DirectCall(settings, route, createRequest(2000), new AbortController().signal).run();
			if (startedAt >= burstAt) {
				ended.push({route: route.name, kind, tookMs: performance.now() - startedAt});
			}
		};

		for (let ms = 0; ms < quietMs + 2000; ms += 1) {
			for (const [name, rate] of Object.entries({others: baseRate, burst: ms < quietMs ? baseRate : burst})) {
				for (let left = rate / 1000; left > random.next(); left -= 1) {
					void send(createRoute({name, objectiveMs, kind: 'non-idempotent'}));
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1);
		}

		await clock.tickAsync(3000);
		return ended;
	}

	function listTimes(ended: readonly EndedCall[], route: string, kind: CallOutcome['kind'] = 'answered'): number[] {
		return ended.filter(call => call.route === route && call.kind === kind).map(({tookMs}) => tookMs);
	}

	/** Creates an endpoint whose slots are all taken for a long time, and a queue with measured service times. */
	async function createFullEndpoint(): Promise<{bench: Bench; call(path: string): Promise<CallOutcome>}> {
		const bench = createBench(1);
		const queue = new EndpointQueue(bench.directory);
		const settings = {...bench, client: createQueueingClient(bench, slots, () => 10_000), queue};
		const call = async (path: string) => new DirectCall(settings, createRoute({objectiveMs}), {...createRequest(60_000), path}, new AbortController().signal).run();
		for (let i = 0; i < 20; i++) {
			queue.recordWork('s', 25);
		}

		for (let i = 0; i <= slots; i++) {
			void call(`/open${i}`);
		}

		await clock.tickAsync(1);
		return {bench, call};
	}

	it('are refused within a quarter of the objective and not run while all slots are taken', async () => {
		const {bench, call} = await createFullEndpoint();
		const outcome = call('/x');
		await clock.tickAsync(objectiveMs / 4);
		const {kind} = await outcome;
		expect([kind, bench.directory.countOpen('i0')]).to.deep.equal(['not-run', slots + 1]);
	});

	it('get the next slot before new calls when they are retried after a refusal', async () => {
		const {bench, call} = await createFullEndpoint();
		const ended: string[] = [];
		const record = async (name: string) => {
			const {kind} = await call('/' + name);
			ended.push(`${name} ${kind}`);
		};

		void record('back');
		await clock.tickAsync(objectiveMs / 4);
		void record('new');
		await clock.tickAsync(1);
		void record('back');
		await clock.tickAsync(1);
		bench.directory.release('i0');
		await clock.tickAsync(objectiveMs / 4);
		// The retry of the first call has the slot and runs.
		expect(ended).to.deep.equal(['back not-run', 'new not-run']);
	});

	it('keep their usual latency on one route during an eightfold burst on another, with a quarter of the endpoints three times slower', async () => {
		const quiet = await replay(baseRate);
		const loud = await replay(8 * baseRate);
		const others = loud.filter(({route}) => route === 'others');
		expect(findQuantile(listTimes(loud, 'others'), 0.99)).to.be.at.most(2 * findQuantile(listTimes(quiet, 'others'), 0.99));
		expect(listTimes(loud, 'others').length / others.length).to.be.at.least(0.99);
		expect(Math.max(...listTimes(loud, 'burst', 'not-run'))).to.be.at.most(objectiveMs / 4);
		expect(listTimes(quiet, 'burst', 'not-run')).to.deep.equal([]);
	}).timeout(60_000);
});
