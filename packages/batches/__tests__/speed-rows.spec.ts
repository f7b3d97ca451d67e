import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EndpointDirectory} from '@wasabiusher/direct';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {SpeedRows} from '../src/index.js';

describe('SpeedRows', () => {
	let clock: Clock;
	let rows: MemoryRowStore;

	beforeEach(() => {
		clock = install();
		rows = new MemoryRowStore();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** A host that knows one endpoint at the address `a`. */
	async function startHost(id: string) {
		const directory = new EndpointDirectory(new Random(1));
		directory.put({
			id, service: 's', address: 'a', dataCentre: 'd', slots: 4, isDraining: false, models: [], orderCount: 0, coldMs: 0,
		});
		const speeds = new SpeedRows({rows, directory, log: createSilentLog()});
		speeds.start();
		await clock.tickAsync(100);
		return {directory, speeds};
	}

	function measure({directory}: {directory: EndpointDirectory}, id: string, unitMs: number, runs = 8): void {
		for (let i = 0; i < runs; i += 1) {
			directory.recordRunPace(id, unitMs);
		}
	}

	it('provides a starting host with the speed of an endpoint that has restarted at its address', async () => {
		const first = await startHost('i1');
		measure(first, 'i1', 26);
		await clock.tickAsync(6000);
		first.speeds.stop();
		const second = await startHost('i2');
		expect(second.directory.findPersistentMs('i2')).to.equal(26);
		// The speed from the row was wrong: its own runs correct it, and then the row.
		measure(second, 'i2', 56);
		expect(second.directory.findPersistentMs('i2')).to.equal(56);
		await clock.tickAsync(6000);
		second.speeds.stop();
		const third = await startHost('i2');
		expect(third.directory.findPersistentMs('i2')).to.equal(56);
		third.speeds.stop();
	});

	it('writes nothing while no persistent speed has changed', async () => {
		const host = await startHost('i1');
		measure(host, 'i1', 40);
		await clock.tickAsync(6000);
		const {rows: [before]} = await rows.read({table: 'endpoint-speeds', part: ''});
		measure(host, 'i1', 44, 20);
		await clock.tickAsync(20_000);
		const {rows: [after]} = await rows.read({table: 'endpoint-speeds', part: ''});
		expect(after!.version).to.equal(before!.version);
		host.speeds.stop();
	});

	it('skips an invalid row, and retries the read while the store fails', async () => {
		const row = {
			table: 'endpoint-speeds', part: '', key: 'a', value: new Uint8Array([1]),
		};
		await rows.commit({conditions: [], puts: [row], deletes: []});
		const read = rows.read.bind(rows);
		rows.read = async () => {
			throw new Error('down');
		};

		const host = await startHost('i1');
		rows.read = read;
		measure(host, 'i1', 30);
		await clock.tickAsync(7000);
		host.speeds.stop();
		const later = await startHost('i1');
		expect(later.directory.findPersistentMs('i1')).to.equal(30);
		later.speeds.stop();
	});
});
