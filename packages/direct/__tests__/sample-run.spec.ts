import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {ServingRequest} from '@wasabiusher/backends';
import {
	SampleRun, type SampleOutcome, type SampleRequest, type GeneratedText,
} from '../src/index.js';
import {
	createBench, createRoute, createSample, type Bench,
} from './fixtures.js';

async function readKind(outcome: Promise<SampleOutcome>): Promise<SampleOutcome['kind']> {
	const {kind} = await outcome;
	return kind;
}

describe('SampleRun', () => {
	let clock: Clock;
	let bench: Bench;

	beforeEach(() => {
		clock = install();
		bench = createBench(2);
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function run(changes: Partial<SampleRequest> = {}, ms = 10_000, text?: GeneratedText): Promise<SampleOutcome> {
		const {directory, client, log} = bench;
		const sample = new SampleRun({
			directory, client, log, findRoute: () => createRoute({kind: 'batch'}), chance: () => 0,
		}, createSample(changes), new AbortController().signal, text);
		const outcome = sample.run();
		await clock.tickAsync(ms);
		return outcome;
	}

	function listRuns() {
		return bench.endpoints.flatMap(({runs}) => runs);
	}

	function readEvents(outcome: SampleOutcome): string[] {
		return outcome.kind === 'made' ? outcome.text.events : [];
	}

	it('collects every event once, with the versions that generated them', async () => {
		const outcome = await run();
		expect(readEvents(outcome)).to.deep.equal(['s1#1', 's1#2', 's1#3', 's1#4', 's1#5']);
		expect(outcome.kind === 'made' && [...outcome.text.versions]).to.deep.equal([1]);
	});

	it('uses the urgency of its route, or the lowest one if nothing waits for it', async () => {
		await run();
		await run({avoidsFull: true});
		expect(listRuns().map(({urgency}) => urgency)).to.have.members([createRoute().priority, 9]);
	});

	it('resumes at another endpoint after the last complete event when a run breaks', async () => {
		for (const {switches} of bench.endpoints) {
			switches.breakAfter = 2;
		}

		const outcome = await run();
		expect(readEvents(outcome)).to.deep.equal(['s1#1', 's1#2', 's1#3', 's1#4', 's1#5']);
		expect(listRuns().map(({resumeAfter}) => resumeAfter)).to.include(2);
	});

	it('does not treat a run without a length as complete, and fetches the missing events', async () => {
		for (const {switches} of bench.endpoints) {
			switches.unframed = 1;
		}

		const outcome = await run();
		expect(readEvents(outcome)).to.deep.equal(['s1#1', 's1#2', 's1#3', 's1#4', 's1#5']);
	});

	it('resumes the retained text of an earlier owner', async () => {
		const outcome = await run({}, 10_000, {events: ['s1#1', 's1#2'], versions: new Set([1])});
		expect(readEvents(outcome)).to.have.length(5);
		expect(listRuns().map(({resumeAfter}) => resumeAfter)).to.deep.equal([2]);
	});

	it('resumes at another endpoint soon after its endpoint stops responding, and probes that one with one attempt at a time', async () => {
		for (const {switches} of bench.endpoints) {
			switches.eventMs = 40;
			switches.events = 50;
		}

		const unresponsive = bench.endpoints[0]!;
		setTimeout(() => {
			unresponsive.switches.isDark = true;
		}, 600);
		bench.directory.pause('i1', 100);
		const outcome = await run({}, 4200);
		expect(readEvents(outcome)).to.have.length(50);
		expect(listRuns().map(({resumeAfter}) => resumeAfter)).to.deep.equal([undefined, 14]);
	});

	it('does not abort a queued run while other runs at the same endpoint continue', async () => {
		for (const {switches} of bench.endpoints) {
			switches.eventMs = 3000;
			switches.events = 2;
		}

		const timer = setInterval(() => {
			for (const {id} of bench.endpoints) {
				bench.directory.recordPace(id, 40);
			}
		}, 40);
		const outcome = await run({}, 7000);
		clearInterval(timer);
		expect(readEvents(outcome)).to.have.length(2);
		expect(listRuns()).to.have.length(1);
	});

	it('resumes a run on a new connection after four silent seconds, although other runs at its endpoint go on', async () => {
		for (const {switches} of bench.endpoints) {
			switches.eventMs = 40;
			switches.events = 50;
		}

		const requests: ServingRequest[] = [];
		const {client} = bench;
		bench.client = Object.assign(Object.create(client) as typeof client, {
			async run(...[target, request, signal]: Parameters<typeof client.run>) {
				requests.push(request);
				return client.run(target, request, signal);
			},
		});
		const timer = setInterval(() => {
			bench.directory.recordPace('i0', 40);
		}, 40);
		setTimeout(() => {
			bench.endpoints[0]!.switches.isDark = true;
		}, 600);
		bench.directory.pause('i1', 100);
		const outcome = await run({}, 6500);
		clearInterval(timer);
		expect(readEvents(outcome)).to.have.length(50);
		expect(requests.map(({resumeAfter, usesNewConnection}) => [resumeAfter, usesNewConnection])).to.deep.equal([[undefined, undefined], [14, true]]);
	});

	it('counts the time at no endpoint through runs that are refused', async () => {
		const {directory, client, log} = bench;
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		const stop = new AbortController();
		const sample = new SampleRun({
			directory, client, log, findRoute: () => createRoute({kind: 'batch'}), chance: () => 0,
		}, createSample({}), stop.signal);
		const outcome = sample.run();
		await clock.tickAsync(5000);
		expect(sample.idle?.idleMs).to.be.at.least(4900);
		expect(sample.idle?.runs).to.be.above(5);
		for (const {switches} of bench.endpoints) {
			Object.assign(switches, {isFull: false, eventMs: 100, events: 20});
		}

		await clock.tickAsync(1000);
		expect(sample.idle).to.equal(undefined);
		stop.abort();
		await clock.tickAsync(200);
		await outcome;
	});

	it('records the mean pace of a run, not the pace of events that arrive together after a network pause', async () => {
		for (const endpoint of bench.endpoints) {
			endpoint.switches.eventMs = 40;
			endpoint.switches.events = 60;
		}

		const outcome = await run({}, 4000);
		expect(readEvents(outcome)).to.have.length(60);
		const paces = bench.endpoints.flatMap(({id}) => bench.directory.findBestPaceMs(id) ?? []);
		expect(paces).to.deep.equal([40]);
		for (let i = 0; i < 30; i += 1) {
			bench.directory.recordPace(bench.endpoints[0]!.id, 0);
			bench.directory.recordPace(bench.endpoints[1]!.id, 0);
		}

		expect(bench.endpoints.flatMap(({id}) => bench.directory.findBestPaceMs(id) ?? [])).to.deep.equal([40]);
	});

	it('moves to a faster endpoint only if it would be late otherwise, and begins there if possible', async () => {
		const runOn = async (events: number, pauseMs: number) => {
			bench = createBench(2);
			bench.directory.recordReportedPaces({i0: 56, i1: 26});
			for (const [i, {switches}] of bench.endpoints.entries()) {
				switches.eventMs = i === 0 ? 56 : 26;
				switches.events = events;
			}

			bench.directory.pause('i1', pauseMs);
			const outcome = await run({dueAt: performance.now() + 3750, expectLeft: made => events - made}, 9000);
			expect(readEvents(outcome)).to.have.length(events);
			return bench.endpoints.map(({runs}) => runs.map(({resumeAfter}) => resumeAfter));
		};

		expect(await runOn(40, 1000)).to.deep.equal([[undefined], []]);
		expect(await runOn(120, 1000)).to.deep.equal([[undefined], [18]]);
		expect(await runOn(120, 0)).to.deep.equal([[], [undefined]]);
	});

	it('lists every version when the weights change during a generation', async () => {
		for (const endpoint of bench.endpoints) {
			endpoint.switches.eventMs = 100;
			setTimeout(() => {
				endpoint.version = 2;
			}, 250);
		}

		const outcome = await run();
		expect(outcome.kind === 'made' && [...outcome.text.versions]).to.deep.equal([1, 2]);
	});

	it('restarts when the weights change during a generation that must have a single version', async () => {
		for (const endpoint of bench.endpoints) {
			endpoint.switches.eventMs = 100;
			setTimeout(() => {
				endpoint.version = 2;
			}, 250);
		}

		const outcome = await run({isSingleVersion: true});
		expect(readEvents(outcome)).to.have.length(5);
		expect(outcome.kind === 'made' && [...outcome.text.versions]).to.deep.equal([2]);
	});

	it('never uses an endpoint whose weights are too old', async () => {
		bench.directory.recordVersion('i1', 'm', 2);
		bench.endpoints[1]!.version = 2;
		const outcome = await run({minWeightVersion: 2});
		expect(outcome.kind).to.equal('made');
		expect(bench.endpoints[0]!.runs).to.have.length(0);
	});

	it('rejects events of an endpoint whose weights are older than recorded', async () => {
		bench.directory.recordVersion('i0', 'm', 2);
		bench.directory.recordVersion('i1', 'm', 2);
		bench.endpoints[1]!.version = 2;
		const outcome = await run({minWeightVersion: 2});
		expect(outcome.kind === 'made' && [...outcome.text.versions]).to.deep.equal([2]);
	});

	it('fails after the maximum number of attempts of its route, and at once if it is impossible', async () => {
		for (const {switches} of bench.endpoints) {
			switches.status = 500;
		}

		expect([await readKind(run()), listRuns().length]).to.deep.equal(['failed', 3]);
		for (const {switches} of bench.endpoints) {
			switches.status = 422;
		}

		expect([await readKind(run()), listRuns().length]).to.deep.equal(['impossible', 4]);
	});

	it('does not count refusals as failures, and expires at its deadline', async () => {
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		expect(await readKind(run({deadlineAt: performance.now() + 3000}))).to.equal('expired');
		expect(listRuns()).to.have.length(0);
	});

	it('backs off from endpoints that refuse', async () => {
		let refusals = 0;
		const {client} = bench;
		bench.client = {
			call: client.call.bind(client), open: client.open.bind(client), report: client.report.bind(client), order: client.order.bind(client), check: client.check.bind(client),
			async run(...parameters) {
				const answer = await client.run(...parameters);
				refusals += Number(answer.isNotRun);
				return answer;
			},
		};
		for (const {switches} of bench.endpoints) {
			switches.isFull = true;
		}

		await run({deadlineAt: performance.now() + 2000});
		expect(refusals).to.be.within(4, 24);
	});

	it('resumes at the faster endpoint that it moves to, even if that one is not dedicated', async () => {
		bench = createBench(5);
		const {directory} = bench;
		for (const [i, {switches}] of bench.endpoints.entries()) {
			switches.events = 100;
			switches.eventMs = i >= 2 ? 45 : 60;
		}

		let fastRunning = 4;
		// Simulates the load reports and paces of other runs.
		const measure = setInterval(() => {
			for (const [i, {switches}] of bench.endpoints.entries()) {
				directory.recordHead(`i${i}`, {
					status: 200, headers: {}, isNotRun: false, stamp: undefined, load: {running: i >= 2 ? fastRunning : 0, waiting: 0, slots: 4}, weightVersion: 1, isFramed: true, isClosing: false,
				});
				directory.recordPace(`i${i}`, switches.eventMs);
			}
		}, 60);
		await clock.tickAsync(1000);
		const outcome = new SampleRun({
			directory, client: bench.client, log: bench.log, findRoute: () => createRoute({kind: 'batch'}), chance: () => 0, findDedicated: () => new Set(['i0', 'i1']),
		}, createSample(), new AbortController().signal).run();
		await clock.tickAsync(500);
		fastRunning = 3;
		await clock.tickAsync(8000);
		clearInterval(measure);
		expect(readEvents(await outcome)).to.have.length(100);
		const [first, second, ...fast] = bench.endpoints;
		expect([first!.runs.length + second!.runs.length, fast.flatMap(({runs}) => runs).length]).to.deep.equal([1, 1]);
	});

	it('leaves an endpoint that becomes slow, and resumes at a fast one', async () => {
		for (const {switches} of bench.endpoints) {
			switches.events = 40;
		}

		bench.endpoints[0]!.switches.eventMs = 100;
		const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map(async id => run({id, group: id}, 2000)));
		expect(outcomes.every(outcome => readEvents(outcome).length === 40)).to.equal(true);
		expect(bench.endpoints[1]!.runs.some(({resumeAfter}) => resumeAfter !== undefined)).to.equal(true);
	});
});
