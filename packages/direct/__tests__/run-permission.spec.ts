import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Route} from '@wasabiusher/shared';
import type {MemoryEndpoint} from '@wasabiusher/standins';
import {EndpointQueue, SampleRun, type SampleOutcome} from '../src/index.js';
import {
	createBench, createRoute, createSample, type Bench,
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
});
