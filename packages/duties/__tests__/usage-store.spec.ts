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

	it('forgets all that lies before a window, however many hosts have told of it', async () => {
		const hosts = Array.from({length: 600}, (_, i) => `h${i}`);
		for (const window of [7, 8]) {
			for (const host of hosts) {
				// eslint-disable-next-line no-await-in-loop
				await store.tell([createUsage(host, window)]);
			}
		}

		await store.forgetBefore(8);
		const [old, kept] = await Promise.all([store.readTold(7), store.readTold(8)]);
		expect([old.length, kept.length]).to.deep.equal([0, hosts.length]);
	});

	it('reads the highest revision of what one start of a process has told', async () => {
		await store.tell([createUsage('a', 7, {revision: 10, counts: new Map([['x', 3]])})]);
		await store.tell([createUsage('a', 7, {revision: 9, counts: new Map([['x', 2]])})]);
		const told = await store.readTold(7);
		expect(told.map(({counts}) => [...counts])).to.deep.equal([[['x', 3]]]);
	});
});
