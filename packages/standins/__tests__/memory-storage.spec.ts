import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {MemoryObjectStore, MemoryTableService} from '../src/index.js';

async function catchCode(work: Promise<unknown>): Promise<string> {
	try {
		await work;
	} catch (error) {
		return error instanceof PlatformError ? error.code : String(error);
	}

	return 'none';
}

const write = (key: string, value: unknown, expected?: number) => [{
	table: 't', key, expect: expected, value,
}];

describe('MemoryTableService', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('applies a transaction atomically', async () => {
		const tables = new MemoryTableService();
		await tables.transact(write('a', 1));
		const code = await catchCode(tables.transact([...write('b', 1, 0), ...write('a', 2, 0)]));
		expect(code).to.equal('conflict');
		expect(await tables.read('t', 'b')).to.equal(undefined);
		expect(await tables.read('t', 'a')).to.deep.equal({key: 'a', value: 1, version: 1});
	});

	it('scans a prefix in key order, after a key, up to a limit', async () => {
		const tables = new MemoryTableService();
		await tables.transact(['x/3', 'x/1', 'y/1', 'x/2', 'x/4'].flatMap(key => write(key, key)));
		const rows = await tables.scan('t', {prefix: 'x/', after: 'x/1', limit: 2});
		expect(rows.map(({key}) => key)).to.deep.equal(['x/2', 'x/3']);
	});

	it('applies no write while it is down', async () => {
		const tables = new MemoryTableService({isDown: true});
		expect(await catchCode(tables.transact(write('a', 1)))).to.equal('unavailable');
		tables.switches.isDown = false;
		expect(await tables.read('t', 'a')).to.equal(undefined);
	});

	it('loses the answers of as many applied writes as are set', async () => {
		const tables = new MemoryTableService({answersToLose: 1});
		expect(await catchCode(tables.transact(write('a', 1, 0)))).to.equal('unknown');
		expect(await catchCode(tables.transact(write('a', 2, 0)))).to.equal('conflict');
		expect((await tables.transact(write('a', 2, 1)))).to.deep.equal([2]);
	});

	it('applies a write after its client has timed out', async () => {
		const tables = new MemoryTableService({delayMs: 5000, clientTimeoutMs: 1000});
		const code = catchCode(tables.transact(write('a', 1)));
		await clock.tickAsync(1000);
		expect(await code).to.equal('unknown');
		tables.switches.delayMs = 0;
		expect(await tables.read('t', 'a')).to.equal(undefined);
		await clock.tickAsync(4000);
		expect(await tables.read('t', 'a')).to.deep.include({value: 1});
	});

	it('stores the values as of the start of the call', async () => {
		const tables = new MemoryTableService({delayMs: 100});
		const value = {count: 1};
		const done = tables.transact(write('a', value));
		value.count = 2;
		await clock.tickAsync(100);
		await done;
		tables.switches.delayMs = 0;
		expect((await tables.read('t', 'a'))!.value).to.deep.equal({count: 1});
	});

	it('limits writes per second separately from reads', async () => {
		const tables = new MemoryTableService({writesPerSecond: 2});
		const codes = await Promise.all([1, 2, 3].map(async value => catchCode(tables.transact(write('a', value)))));
		expect(codes).to.deep.equal(['none', 'none', 'limited']);
		expect(await catchCode(tables.read('t', 'a'))).to.equal('none');
		await clock.tickAsync(500);
		expect(await catchCode(tables.transact(write('a', 4)))).to.equal('none');
		expect(tables.gate.counts).to.deep.equal({reads: 1, writes: 4, refused: 1});
	});

	it('stores a copy of the bytes that a caller passes', async () => {
		const objects = new MemoryObjectStore();
		const content = Uint8Array.of(1, 2);
		await objects.put('k', content);
		content[0] = 9;
		expect([...(await objects.get('k'))!]).to.deep.equal([1, 2]);
	});
});
