import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Route} from '@wasabiusher/shared';
import type {MemoryEndpoint} from '@wasabiusher/standins';
import {
	DirectCall, EndpointQueue, SampleRun, type CallOutcome, type SampleOutcome,
} from '../src/index.js';
import {
	createBench, createRequest, createRoute, createSample, type Bench,
} from './fixtures.js';

const eventCount = 120;

// Guards against runs that begin at a service which the route in force doesn't name, by a decision made under an older configuration.
describe('Runs after a change of their route', () => {
	let clock: Clock;
	let bench: Bench;
	let route: Route | undefined;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function routeTo(...services: string[]): void {
		route = createRoute({kind: 'batch', targets: services.map(service => ({service, weight: 1}))});
	}

	/** Creates endpoints `i0`, `i1`, ... of the given services and times for one event, in milliseconds. */
	function createEndpoints(...endpoints: ReadonlyArray<readonly [service: string, eventMs: number]>): MemoryEndpoint[] {
		bench = createBench(endpoints.length);
		for (const [i, [service, eventMs]] of endpoints.entries()) {
			const id = `i${i}`;
			bench.directory.put({...bench.directory.get(id)!, service});
			bench.directory.recordReportedPaces({[id]: eventMs});
			Object.assign(bench.endpoints[i]!.switches, {eventMs, events: eventCount});
		}

		return bench.endpoints;
	}

	/** Starts a sample that is late at an endpoint of 56 ms an event and in time at one of 26 ms. */
	async function startSample(queue?: EndpointQueue, id = 's1'): Promise<SampleOutcome> {
		const {directory, client, log} = bench;
		return new SampleRun({
			directory, client, log, queue, findRoute: () => route, chance: () => 0,
		}, createSample({id, dueAt: performance.now() + 3750, expectLeft: made => eventCount - made}), new AbortController().signal).run();
	}

	function countRuns(): number[] {
		return bench.endpoints.map(({runs}) => runs.length);
	}

	function readEvents(outcome: SampleOutcome): number {
		return outcome.kind === 'made' ? outcome.text.events.length : 0;
	}

	/**
	 * Changes the route half a second after a sample has begun at the slow endpoint `i0`; the fast `i1` becomes available after another half.
	 *
	 * @returns the number of events of the sample's text
	 */
	async function changeDuringRun(change: () => void): Promise<number> {
		routeTo('s');
		bench.directory.pause('i1', 1000);
		const outcome = startSample();
		await clock.tickAsync(500);
		expect(countRuns().slice(0, 2)).to.deep.equal([1, 0]);
		change();
		await clock.tickAsync(9000);
		return readEvents(await outcome);
	}

	async function expectToStay(change: () => void): Promise<void> {
		createEndpoints(['s', 56], ['s', 26], ['t', 26], ['u', 26]);
		expect([await changeDuringRun(change), countRuns()]).to.deep.equal([eventCount, [1, 0, 0, 0]]);
	}

	/** Starts more samples than the endpoint of their service has slots, changes their route, and returns the number of runs at each service. */
	async function changeDuringWait(change: () => void): Promise<number[]> {
		createEndpoints(['s', 56], ['t', 26]);
		routeTo('s');
		const queue = new EndpointQueue(bench.directory);
		const outcomes = Array.from({length: 6}, async (_, i) => startSample(queue, `s${i}`));
		await clock.tickAsync(100);
		expect(countRuns()).to.deep.equal([4, 0]);
		change();
		await clock.tickAsync(20_000);
		await Promise.all(outcomes);
		return countRuns();
	}

	const changes: Readonly<Record<string, () => void>> = {
		'moved to another service'() {
			routeTo('t');
		},
		'moved twice'() {
			routeTo('t');
			setTimeout(() => {
				routeTo('u');
			}, 300);
		},
		dropped() {
			route = undefined;
		},
		'split among other services'() {
			routeTo('t', 'u');
		},
		'left with no weight for the service'() {
			route = createRoute({kind: 'batch', targets: [{service: 's', weight: 0}, {service: 't', weight: 1}]});
		},
	};

	it('moves a generation within its service while its route stays', async () => {
		createEndpoints(['s', 56], ['s', 26]);
		expect([await changeDuringRun(() => undefined), countRuns()]).to.deep.equal([eventCount, [1, 1]]);
	});

	for (const [name, change] of Object.entries(changes)) {
		it(`lets a generation end where it runs, and moves it to no other endpoint of its service, when its route is ${name}`, async () => expectToStay(change));
	}

	it('moves a generation again once its route has moved back', async () => {
		createEndpoints(['s', 56], ['s', 26], ['t', 26]);
		const events = await changeDuringRun(() => {
			routeTo('t');
			setTimeout(() => {
				routeTo('s');
			}, 1000);
		});
		expect([events, countRuns()]).to.deep.equal([eventCount, [1, 1, 0]]);
	});

	it('resumes a broken generation at the service that its route has moved to', async () => {
		const [slow, , other] = createEndpoints(['s', 56], ['s', 26], ['t', 26]);
		const events = await changeDuringRun(() => {
			routeTo('t');
			slow!.switches.isDark = true;
		});
		expect([events, countRuns()]).to.deep.equal([eventCount, [1, 0, 1]]);
		expect(other!.runs[0]!.resumeAfter).to.be.above(0);
	});

	it('begins waiting samples at the service that their route has moved to, and none of a route that was dropped', async () => {
		expect(await changeDuringWait(() => {
			routeTo('t');
		})).to.deep.equal([4, 2]);
		expect(await changeDuringWait(() => {
			route = undefined;
		})).to.deep.equal([4, 0]);
	});

	it('runs a generation although its route gives no service any weight', async () => {
		createEndpoints(['t', 26], ['s', 26]);
		route = createRoute({kind: 'batch', targets: [{service: 't', weight: 0}, {service: 's', weight: 0}]});
		const outcome = startSample();
		await clock.tickAsync(9000);
		expect([readEvents(await outcome), countRuns()]).to.deep.equal([eventCount, [0, 1]]);
	});

	/** Starts a call of a route to `s`, where each attempt takes `workMs`. */
	async function startCall(kind: 'idempotent' | 'non-idempotent', queue?: EndpointQueue, attemptId = 'r1'): Promise<CallOutcome['kind']> {
		const call = new DirectCall({...bench, queue, findRoute: () => route}, createRoute({kind, objectiveMs: 1000}), {...createRequest(20_000), attemptId, path: `/${attemptId}`}, new AbortController().signal);
		const outcome = await call.run();
		return outcome.kind;
	}

	function routeCallsTo(service: string, kind: Route['kind'] = 'idempotent'): void {
		route = createRoute({kind, targets: [{service, weight: 1}]});
	}

	const callChanges: Readonly<Record<string, {expected: [outcome: CallOutcome['kind'], runs: number[]]; change(): void}>> = {
		moved: {
			expected: ['answered', [1, 0, 1]],
			change() {
				routeCallsTo('t');
			},
		},
		dropped: {
			expected: ['answered', [1, 0, 0]],
			change() {
				route = undefined;
			},
		},
		'made one of calls that run once': {
			expected: ['answered', [1, 0, 0]],
			change() {
				routeCallsTo('s', 'non-idempotent');
			},
		},
		kept: {
			expected: ['answered', [1, 1, 0]],
			change() {
				routeCallsTo('s');
			},
		},
	};

	async function changeBeforeRetry(change: () => void): Promise<unknown> {
		createEndpoints(['s', 1], ['s', 1], ['t', 1]);
		for (const {switches} of bench.endpoints.slice(0, 2)) {
			Object.assign(switches, {status: 500, callMs: 300});
		}

		bench.directory.pause('i1', 200);
		routeCallsTo('s');
		const outcome = startCall('idempotent');
		await clock.tickAsync(100);
		change();
		await clock.tickAsync(5000);
		return [await outcome, countRuns()];
	}

	for (const [name, {change, expected}] of Object.entries(callChanges)) {
		it(`makes a further attempt of a call only where its route sends it when it is ${name}`, async () => {
			expect(await changeBeforeRetry(change)).to.deep.equal(expected);
		});
	}

	it('serves a waiting call at the service that its route has moved to, and refuses it as not run when its route was dropped', async () => {
		const play = async (change: () => void) => {
			createEndpoints(['s', 1], ['t', 1]);
			for (const {switches} of bench.endpoints) {
				switches.callMs = 150;
			}

			routeCallsTo('s', 'non-idempotent');
			const queue = new EndpointQueue(bench.directory);
			const outcomes = Array.from({length: 7}, async (_, i) => startCall('non-idempotent', queue, `r${i}`));
			await clock.tickAsync(100);
			const begun = bench.endpoints[0]!.runs.length;
			change();
			await clock.tickAsync(5000);
			const kinds = await Promise.all(outcomes);
			const [former, present] = countRuns();
			return [kinds.slice(begun), former! - begun, present];
		};

		expect(await play(() => {
			routeCallsTo('t', 'non-idempotent');
		})).to.deep.equal([['answered', 'answered'], 0, 2]);
		expect(await play(() => {
			route = undefined;
		})).to.deep.equal([['not-run', 'not-run'], 0, 0]);
	});
});
