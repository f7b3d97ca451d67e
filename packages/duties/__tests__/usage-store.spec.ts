import {expect} from 'chai';
import {MemoryRowStore} from '@wasabiusher/standins';
import {UsageStore, type HostUsage} from '../src/index.js';

function createUsage(host: string, window: number, changes: Partial<HostUsage> = {}): HostUsage {
	return {
		window, host, incarnation: `${host}-1`, revision: 0, isFinal: true, isLast: false, counts: new Map([['x', 1]]), ...changes,
	};
}

describe('UsageStore', () => {
	let store: UsageStore;

	beforeEach(() => {
		store = new UsageStore(new MemoryRowStore());
	});

	it('deletes all rows before a window, however many hosts have written counts', async () => {
		const hosts = Array.from({length: 600}, (_, i) => `h${i}`);
		for (const window of [7, 8]) {
			for (const host of hosts) {
				// eslint-disable-next-line no-await-in-loop
				await store.writeCounts([createUsage(host, window)]);
			}
		}

		await store.deleteBefore(8);
		const [old, kept] = await Promise.all([store.readCounts(7), store.readCounts(8)]);
		expect([old.length, kept.length]).to.deep.equal([0, hosts.length]);
	});

	it('reads the highest revision of the counts of one start of a process', async () => {
		await store.writeCounts([createUsage('a', 7, {revision: 10, counts: new Map([['x', 3]])})]);
		await store.writeCounts([createUsage('a', 7, {revision: 9, counts: new Map([['x', 2]])})]);
		const usages = await store.readCounts(7);
		expect(usages.map(({counts}) => [...counts])).to.deep.equal([[['x', 3]]]);
	});
});
