import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {RetryBudget} from '@wasabiusher/decisions';
import {DirectCall, type CallOutcome} from '../src/index.js';
import {
	createBench, createRequest, createRoute, type Bench,
} from './fixtures.js';

async function readKind(outcome: Promise<CallOutcome>): Promise<CallOutcome['kind']> {
	const {kind} = await outcome;
	return kind;
}

describe('DirectCall', () => {
	let clock: Clock;
	let bench: Bench;

	beforeEach(() => {
		clock = install();
		bench = createBench(3);
	});

	afterEach(() => {
		clock.uninstall();
	});

	function countRuns(): number {
		return bench.endpoints.reduce((sum, {runs}) => sum + runs.length, 0);
	}

	function start(route = createRoute(), deadlineMs = 1000): {outcome: Promise<CallOutcome>; leave: AbortController} {
		const leave = new AbortController();
		return {outcome: new DirectCall(bench, route, createRequest(deadlineMs), leave.signal).run(), leave};
	}

	it('returns the complete answer of one endpoint', async () => {
		const {outcome} = start();
		await clock.tickAsync(20);
		const {kind} = await outcome;
		expect([kind, countRuns()]).to.deep.equal(['answered', 1]);
	});

	it('tries another endpoint when one refuses or is unreachable', async () => {
		bench.endpoints[0]!.switches.isFull = true;
		bench.endpoints[1]!.switches.isDown = true;
		const outcomes = [start(), start(), start()].map(async ({outcome}) => outcome);
		await clock.tickAsync(100);
		expect(await Promise.all(outcomes.map(async outcome => readKind(outcome)))).to.deep.equal(['answered', 'answered', 'answered']);
	});

	it('hedges few requests while a whole service is slow, and never a non-idempotent one', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 400;
		}

		const hedges = new RetryBudget();
		const call = async (kind: 'idempotent' | 'non-idempotent') => {
			const outcomes = Array.from({length: 30}, async () => new DirectCall({...bench, hedges}, createRoute({kind}), createRequest(), new AbortController().signal).run());
			await clock.tickAsync(1000);
			await Promise.all(outcomes);
			return countRuns();
		};

		expect([await call('non-idempotent'), await call('idempotent')]).to.deep.equal([30, 63]);
		// Thirty more first attempts add three hedged ones to the budget.
		expect(await call('idempotent')).to.equal(96);
	});

	it('reports at once, and only if it is proven, that nothing has run', async () => {
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		const {outcome} = start();
		await clock.tickAsync(5);
		expect(await readKind(outcome)).to.equal('not-run');
		expect(countRuns()).to.equal(0);
	});

	it('runs a non-idempotent request once, and reports an unknown outcome when the answer is lost', async () => {
		for (const {switches} of bench.endpoints) {
			switches.answersToLose = 1;
		}

		const {outcome} = start(createRoute({kind: 'non-idempotent'}));
		await clock.tickAsync(500);
		expect([await readKind(outcome), countRuns()]).to.deep.equal(['unknown', 1]);
	});

	it('retries a non-idempotent request that was refused as not run', async () => {
		bench.endpoints[0]!.switches.isFull = true;
		bench.endpoints[1]!.switches.isFull = true;
		const {outcome} = start(createRoute({kind: 'non-idempotent'}));
		await clock.tickAsync(50);
		expect([await readKind(outcome), countRuns()]).to.deep.equal(['answered', 1]);
	});

	it('runs an idempotent request at no more endpoints than its route allows', async () => {
		for (const {switches} of bench.endpoints) {
			switches.status = 500;
		}

		const {outcome} = start(createRoute({maxAttempts: 2}));
		await clock.tickAsync(500);
		expect(await readKind(outcome)).to.equal('answered');
		expect(countRuns()).to.equal(2);
	});

	it('starts a hedged attempt at another endpoint while the first is slow, and returns the first answer', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 5000;
		}

		const {outcome} = start();
		await clock.tickAsync(10);
		const slow = bench.endpoints.find(({runs}) => runs.length > 0)!;
		for (const endpoint of bench.endpoints) {
			if (endpoint !== slow) {
				endpoint.switches.callMs = 10;
			}
		}

		await clock.tickAsync(100);
		expect(await readKind(outcome)).to.equal('answered');
	});

	it('ends at its deadline, and reports that the request may have run', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 5000;
		}

		const {outcome} = start(createRoute(), 300);
		await clock.tickAsync(301);
		expect(await outcome).to.deep.equal({kind: 'timeout', hasSent: true});
	});

	it('ends when the caller disconnects', async () => {
		for (const {switches} of bench.endpoints) {
			switches.callMs = 5000;
		}

		const {outcome, leave} = start(createRoute({maxAttempts: 1}));
		await clock.tickAsync(10);
		leave.abort();
		await clock.tickAsync(5000);
		expect(await readKind(outcome)).to.equal('stopped');
	});

	it('never uses a draining endpoint', async () => {
		for (const {id} of bench.endpoints) {
			bench.directory.put({...bench.directory.get(id)!, isDraining: true});
		}

		const {outcome} = start();
		await clock.tickAsync(5);
		expect(await readKind(outcome)).to.equal('not-run');
	});

	it('rejects the answer of a different server at the same address', async () => {
		bench = createBench(1);
		bench.serving.add('a0', 'another');
		const {outcome} = start();
		await clock.tickAsync(5);
		expect(await readKind(outcome)).to.equal('not-run');
		expect(bench.directory.get('i0')).to.equal(undefined);
	});

	// Guards against calls that may run once and get no answer because their server pauses.
	it('gives up a silent endpoint before the deadline only if the call can be repeated', async () => {
		const silences: unknown[] = [];
		const {client} = bench;
		bench.client = Object.assign(Object.create(client) as typeof client, {
			async call(...[target, request, signal]: Parameters<typeof client.call>) {
				silences.push(request.silenceMs);
				return client.call(target, request, signal);
			},
		});
		for (const kind of ['idempotent', 'non-idempotent'] as const) {
			start(createRoute({kind}));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
		}

		expect(silences).to.deep.equal([undefined, 1000]);
	});
});
