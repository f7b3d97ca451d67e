import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {RegisteredEndpoint} from '@wasabiusher/shared';
import {DirectCall, SampleRun, WeightOrders} from '../src/index.js';
import {
	createBench, createRequest, createRoute, createSample, type Bench,
} from './fixtures.js';

describe('an endpoint that restarts under its id', () => {
	let clock: Clock;
	let bench: Bench;

	beforeEach(() => {
		clock = install();
		bench = createBench(2);
		register({bornMs: 100, orderCount: 2});
	});

	afterEach(() => {
		clock.uninstall();
	});

	function register(changes: Partial<RegisteredEndpoint>): void {
		bench.directory.put({...bench.directory.get('i0')!, ...changes});
	}

	it('is identified by its start time: the state of the previous incarnation is discarded, even if the order counts are equal', () => {
		const {directory} = bench;
		directory.recordVersion('i0', 'm', 7);
		directory.recordRunPace('i0', 120);
		directory.pause('i0', 60_000);
		register({bornMs: 200, orderCount: 2, models: [{model: 'm', version: 3}]});
		expect([directory.findVersion('i0', 'm'), directory.findBestPaceMs('i0')]).to.deep.equal([3, undefined]);
		expect(directory.acquire({service: 's', excluded: new Set(['i1'])})?.id).to.equal('i0');
	});

	it('ignores a late registration of the previous incarnation', () => {
		register({bornMs: 200, orderCount: 0, models: [{model: 'm', version: 3}]});
		register({
			bornMs: 100, orderCount: 9, isDraining: true, models: [{model: 'm', version: 9}],
		});
		expect(bench.directory.get('i0')).to.deep.include({bornMs: 200, isDraining: false});
		expect(bench.directory.findVersion('i0', 'm')).to.equal(3);
	});

	it('stays draining within one incarnation despite late registrations, and serves after a restart', () => {
		register({isDraining: true});
		register({isDraining: false});
		expect(bench.directory.get('i0')!.isDraining).to.equal(true);
		register({bornMs: 200, isDraining: false});
		expect(bench.directory.get('i0')!.isDraining).to.equal(false);
	});

	it('counts open attempts at the new incarnation correctly when attempts at the previous one end', () => {
		const {directory} = bench;
		const requirement = {service: 's', excluded: new Set(['i1'])};
		directory.acquire(requirement);
		register({bornMs: 200});
		directory.release('i0');
		expect(directory.countOpen('i0')).to.equal(0);
		directory.acquire(requirement);
		expect(directory.countOpen('i0')).to.equal(1);
		directory.release('i0');
		expect(directory.countOpen('i0')).to.equal(0);
	});

	/** Removes the registration for longer than the endpoint is used without one. */
	async function lapseRegistration(): Promise<RegisteredEndpoint> {
		const {directory} = bench;
		const endpoint = directory.get('i0')!;
		directory.remove('i0');
		await clock.tickAsync(1300);
		expect(directory.list().map(({id}) => id)).to.deep.equal(['i1']);
		return endpoint;
	}

	it('keeps its open attempts and its draining state when its registration returns after a lapse', async () => {
		const {directory} = bench;
		const requirement = {service: 's', excluded: new Set(['i1'])};
		directory.acquire(requirement);
		directory.acquire(requirement);
		const endpoint = await lapseRegistration();
		directory.release('i0');
		directory.put(endpoint);
		expect(directory.countOpen('i0')).to.equal(1);
		directory.put({...endpoint, isDraining: true});
		await lapseRegistration();
		directory.put({...endpoint, isDraining: false});
		expect(directory.get('i0')!.isDraining).to.equal(true);
	});

	it('triggers a restart notification even if its registration has lapsed in between', async () => {
		let restarts = 0;
		bench.directory.onRestart('i0', () => {
			restarts += 1;
		});
		const endpoint = await lapseRegistration();
		bench.directory.put({...endpoint, bornMs: 200});
		expect(restarts).to.equal(1);
	});

	it('lets an unresponsive run resume at another endpoint at once, without counting a failure', async () => {
		const {directory, endpoints} = bench;
		endpoints[0]!.switches.isDark = true;
		directory.pause('i1', 50);
		const run = new SampleRun({
			directory, client: bench.client, log: bench.log, findRoute: () => createRoute({kind: 'batch'}), chance: () => 0,
		}, createSample(), new AbortController().signal).run();
		await clock.tickAsync(200);
		register({bornMs: 200});
		await clock.tickAsync(400);
		const {kind} = await run;
		expect(kind).to.equal('made');
		expect(endpoints[1]!.runs).to.have.length(1);
		expect(directory.acquire({service: 's', excluded: new Set(['i1'])})?.id).to.equal('i0');
	});

	it('ends a non-idempotent call with "unknown" at once, and lets an idempotent one move to another endpoint', async () => {
		const outcomes = await Promise.all((['non-idempotent', 'idempotent'] as const).map(async kind => {
			const {directory, endpoints, ...settings} = createBench(2);
			directory.put({...directory.get('i0')!, bornMs: 100});
			directory.pause('i1', 20);
			endpoints[0]!.switches.callMs = 50_000;
			const call = new DirectCall({...settings, directory, policy: undefined}, createRoute({kind, objectiveMs: 5000}), createRequest(60_000), new AbortController().signal).run();
			await clock.tickAsync(100);
			directory.put({...directory.get('i0')!, bornMs: 200});
			await clock.tickAsync(100);
			return call;
		}));
		expect(outcomes.map(({kind}) => kind)).to.deep.equal(['unknown', 'answered']);
	});

	it('gets no order based on the report of an incarnation other than the registered one', async () => {
		const {directory, client, log, endpoints} = bench;
		const orders = new WeightOrders({
			directory, client, lease: {fence: 1, holds: () => true}, holder: 'a', log, chooseMode: () => 'continue',
		});
		endpoints[0]!.bornMs = 200;
		endpoints[0]!.version = 9;
		orders.publish('m', 2);
		const tick = async () => {
			for (let i = 0; i < 40; i += 1) {
				orders.tick();
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(50);
			}
		};

		await tick();
		expect(endpoints[0]!.orders).to.have.length(0);
		expect(directory.findVersion('i0', 'm')).to.equal(1);
		endpoints[0]!.version = 1;
		register({bornMs: 200, orderCount: 0});
		await tick();
		expect(endpoints[0]!.orders).to.have.length(1);
	});
});
