import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {MessageOf} from '@wasabiusher/link';
import {RecordError, type GroupWrite} from '@wasabiusher/record';
import {Faults, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {CommitGateway} from '../src/index.js';

/** Entries of one data centre, joined to each other by links of 1 ms. */
class Room {
	readonly tables = new FaultyTables(new Faults());
	readonly gateways = new Map<string, CommitGateway>();
	/** Entries that hear nothing. */
	readonly silent = new Set<string>();
	/** Entries without a link. */
	readonly cut = new Set<string>();

	constructor(count: number) {
		const names = Array.from({length: count}, (_, index) => `entry-${index}`);
		for (const name of names) {
			this.gateways.set(name, new CommitGateway({
				name,
				tables: this.tables,
				maxDirect: 3,
				listEntries: () => names,
				send: (to, message) => {
					if (this.cut.has(to)) {
						return false;
					}

					setTimeout(() => {
						if (!this.silent.has(to)) {
							this.gateways.get(to)!.receive(name, message as MessageOf<'commit' | 'committed'>);
						}
					}, 1);
					return true;
				},
			}));
		}
	}

	/** An entry that does not gather. */
	get plain(): CommitGateway {
		return [...this.gateways].find(([name, {gatherers}]) => !gatherers.includes(name))![1];
	}
}

function createWrite(key: string, attempt = 'a', table = 'claims'): GroupWrite {
	return {
		table, key, expect: 0, value: {attempt},
	};
}

async function catchCode(promise: Promise<unknown>): Promise<string> {
	try {
		await promise;
		return 'none';
	} catch (error) {
		return error instanceof RecordError ? error.code : String(error);
	}
}

describe('CommitGateway', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('gathers rows of many entries into few transactions', async () => {
		const room = new Room(50);
		room.tables.faults.delayMs = 5;
		const writes: Array<Promise<unknown>> = [];
		for (let i = 0; i < 100; i += 1) {
			writes.push(...[...room.gateways.values()].map(async (gateway, index) => gateway.write(createWrite(`${i}/${index}`))));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
		}

		await clock.tickAsync(2000);
		const results = await Promise.all(writes);
		expect(results.every(result => (result as {isWritten: boolean}).isWritten)).to.be.true;
		expect(room.tables.rows.size).to.equal(5000);
		// 500 rows a second for 10 s: two gatherers, each with a transaction in 200 ms.
		expect(room.tables.faults.writes).to.be.at.most(2 * 55);
	});

	it('lets few entries commit by themselves', async () => {
		const room = new Room(3);
		expect(room.gateways.get('entry-0')!.gatherers).to.be.empty;
		room.silent.add('entry-1').add('entry-2');
		expect(await room.gateways.get('entry-0')!.write(createWrite('k'))).to.deep.equal({isWritten: true});
	});

	it('tells who came first', async () => {
		const room = new Room(10);
		const first = room.plain.write(createWrite('k', 'first'));
		await clock.tickAsync(300);
		await first;
		const second = room.gateways.get('entry-0')!.write(createWrite('k', 'second'));
		await clock.tickAsync(300);
		expect(await second).to.deep.equal({isWritten: false, row: {key: 'k', value: {attempt: 'first'}, version: 1}});
	});

	it('commits by itself without a link, and does not know when a gatherer is silent or lost', async () => {
		const room = new Room(10);
		const {gatherers} = room.plain;
		room.cut.add(gatherers[0]!).add(gatherers[1]!);
		expect(await room.plain.write(createWrite('cut'))).to.deep.equal({isWritten: true});
		room.cut.clear();
		room.silent.add(gatherers[0]!).add(gatherers[1]!);
		const silent = catchCode(room.plain.write(createWrite('silent')));
		await clock.tickAsync(2000);
		expect(await silent).to.equal('unknown');
		const lost = catchCode(room.plain.write(createWrite('lost')));
		for (const gatherer of gatherers) {
			room.plain.onLinkDown(gatherer);
		}

		expect(await lost).to.equal('unknown');
	});

	it('says that nothing was written while the store is down, and writes only claims for others', async () => {
		const room = new Room(10);
		const foreign = catchCode(room.plain.write(createWrite('k', 'a', 'configuration')));
		await clock.tickAsync(10);
		expect(await foreign).to.equal('unavailable');
		room.tables.faults.standing = 'down';
		const down = catchCode(room.plain.write(createWrite('k')));
		await clock.tickAsync(300);
		expect(await down).to.equal('unavailable');
		expect(room.tables.rows.size).to.equal(0);
	});
});
