import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {defaultPolicy} from '@wasabiusher/decisions';
import {EndpointDirectory, LoadAnnouncements, WeightOrders} from '../src/index.js';
import {createBench} from './fixtures.js';

const requirement = {service: 's', oldestVersion: {model: 'm', version: 1}};
const load = {endpoint: 'i0', model: 'm', version: 2};

describe('LoadAnnouncements', () => {
	let clock: Clock;
	let store: MemoryRowStore;

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createAnnouncements(writer: string, onLoad: (endpoint: string, forMs: number) => void = () => undefined) {
		return new LoadAnnouncements({
			rows: store, table: 't', part: 'p', writer, log: createSilentLog(), onLoad(load, forMs) {
				onLoad(load.endpoint, forMs);
			},
		});
	}

	async function readRows() {
		const {rows} = await store.read({table: 't', part: 'p'});
		return rows;
	}

	it('announces loads that are ordered together in one row, and later ones within 50 ms', async () => {
		const announcements = createAnnouncements('a');
		const received: Array<[string, number]> = [];
		const other = createAnnouncements('b', (endpoint, forMs) => {
			received.push([endpoint, forMs]);
		});
		announcements.announce(load, 1000);
		announcements.announce({...load, endpoint: 'i1'}, 1000);
		await clock.tickAsync(6);
		announcements.announce({...load, endpoint: 'i2'}, 1000);
		await clock.tickAsync(50);
		const rows = await readRows();
		for (const row of rows) {
			other.apply(row);
			announcements.apply(row);
		}

		expect(rows).to.have.length(2);
		expect(received).to.deep.equal([['i0', 1000], ['i1', 1000], ['i2', 1000]]);
		expect(announcements.counts).to.include({loadRows: 2, loadsHeard: 0});
	});

	it('continues without a store, and counts unreadable rows of other writers', async () => {
		const announcements = createAnnouncements('a');
		store.switches.isDown = true;
		announcements.announce(load, 1000);
		await clock.tickAsync(10);
		announcements.apply({
			table: 't', part: 'p', key: '0', version: 1, value: Buffer.from('{"loads":[7]}'),
		});
		expect(announcements.counts).to.deep.equal({
			loadRows: 0, loadRowsFailed: 1, loadsHeard: 0, loadRowsUnreadable: 1,
		});
	});
});

describe('EndpointDirectory while endpoints load', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('skips an endpoint for the model that it loads, until it serves the version or the load expires', async () => {
		const {directory} = createBench(1);
		directory.loads.record(load, 1000);
		expect(directory.acquire(requirement)).to.equal(undefined);
		expect(directory.acquire({...requirement, oldestVersion: {model: 'other', version: 0}})?.id).to.equal('i0');
		directory.recordVersion('i0', 'm', 2);
		expect(directory.acquire(requirement)?.id).to.equal('i0');
		directory.loads.record({...load, version: 3}, 1000);
		await clock.tickAsync(1000);
		expect(directory.acquire(requirement)?.id).to.equal('i0');
	});

	it('limits the time of an announcement, and ignores one of a served version or with the policy disabled', async () => {
		const {directory, endpoints: [{id}]} = createBench(1) as ReturnType<typeof createBench> & {endpoints: [{id: string}]};
		directory.loads.record(load, 1e9);
		await clock.tickAsync(3000);
		expect(directory.acquire(requirement)?.id).to.equal(id);
		directory.loads.record({...load, version: 1}, 1000);
		expect(directory.acquire(requirement)?.id).to.equal(id);
		const plain = new EndpointDirectory(new Random(1), {...defaultPolicy, tellsLoads: false});
		plain.put(directory.get(id)!);
		plain.loads.record(load, 1000);
		expect(plain.acquire(requirement)?.id).to.equal(id);
	});

	it('detects a load of a published version by a refusal of an endpoint with free slots', async () => {
		const refusal = {
			status: 503, headers: {}, isNotRun: true, stamp: undefined, load: {running: 1, waiting: 0, slots: 4}, weightVersion: undefined, isFramed: true, isClosing: false,
		};
		const findAfter = async (published: number, running: number) => {
			const {directory} = createBench(1);
			directory.loads.recordPublished('m', published);
			directory.acquire(requirement);
			directory.recordHead('i0', {...refusal, load: {...refusal.load, running}}, 'm');
			directory.release('i0');
			await clock.tickAsync(200);
			return directory.acquire(requirement)?.id;
		};

		expect([await findAfter(2, 1), await findAfter(1, 1), await findAfter(2, 4)]).to.deep.equal([undefined, 'i0', 'i0']);
	});

	it('is notified of each order when it is sent, and when it was not taken', async () => {
		const bench = createBench(2);
		const announced: Array<[string, boolean]> = [];
		const orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease: {fence: 1, holds: () => true}, holder: 'a', log: bench.log, chooseMode: () => 'continue',
			announceLoad({endpoint}, forMs) {
				announced.push([endpoint, forMs > 0]);
			},
		});
		bench.endpoints[0]!.isBusy = true;
		bench.client.report = async target => ({...bench.serving.endpoints.get(target.address)!.report(), isBusy: false});
		orders.publish('m', 2);
		for (let i = 0; i < 10; i += 1) {
			orders.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(50);
		}

		expect(announced.slice(0, 2)).to.deep.equal([['i0', true], ['i0', false]]);
	});
});
