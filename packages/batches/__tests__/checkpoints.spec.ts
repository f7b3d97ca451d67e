import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {MemoryRowStore} from '@wasabiusher/standins';
import {createSilentLog} from '@wasabiusher/shared';
import {BatchStore, type BatchRecord, type StoredBatch} from '../src/index.js';
import {CheckpointBudget} from '../src/checkpoint-budget.js';
import {Checkpoints} from '../src/checkpoints.js';

const record: BatchRecord = {
	id: '1', shares: [{
		owner: 'o', ownerHost: 'h', dataCentre: '', term: 1,
	}], customer: '', series: 's', isEnded: false, object: '', total: 9, model: '', expectedTokens: 0, longestTokens: 0, acceptedMs: 0,
};

describe('Checkpoints', () => {
	let clock: Clock;
	let rows: MemoryRowStore;
	let store: BatchStore;
	let stored: StoredBatch;
	/** Number of events of each text, and the content of every event. */
	let texts: Map<string, number>;
	let event: string;
	let checkpoints: Checkpoints;

	async function read(): Promise<Record<string, number>> {
		const partials = await store.readPartials('1');
		return Object.fromEntries([...partials].map(([id, {events}]) => [id, events.length]));
	}

	beforeEach(async () => {
		clock = install();
		rows = new MemoryRowStore();
		store = new BatchStore(rows, rows);
		stored = {record, version: (await store.write(record, 0))!};
		texts = new Map([['short', 8], ['long', 90]]);
		event = 'x';
		checkpoints = new Checkpoints({
			store, log: createSilentLog(), batch: '1', budget: new CheckpointBudget(),
			findVersion: () => stored.version,
			listPartials: () => new Map([...texts].map(([id, count]) => [id, {events: Array.from({length: count}, () => event), versions: [1]}])),
			countMissing: () => 1,
			onConflict(found) {
				stored = found!;
			},
		});
		checkpoints.start();
	});

	afterEach(() => {
		checkpoints.stop();
		clock.uninstall();
	});

	it('writes texts that have grown, and later only those that have grown since', async () => {
		await clock.tickAsync(700);
		expect(await read()).to.deep.equal({long: 90, short: 8});
		const {commits} = rows.counts;
		texts.set('short', 13);
		await clock.tickAsync(700);
		expect(rows.counts.commits).to.equal(commits);
		texts.set('short', 14);
		await clock.tickAsync(700);
		expect(await read()).to.deep.equal({long: 90, short: 14});
	});

	it('writes texts again after a changed row has refused them, even if they have not grown', async () => {
		await store.write({...record, acceptedMs: 1}, stored.version);
		await clock.tickAsync(700);
		expect(await read()).to.deep.equal({});
		await clock.tickAsync(700);
		expect(await read()).to.deep.equal({long: 90, short: 8});
	});

	it('writes the text that would cost most first, and texts that did not fit later', async () => {
		event = 'x'.repeat(600);
		texts = new Map([...Array.from({length: 13}, (_, i): [string, number] => [`t${i}`, 80]), ['long', 95]]);
		await clock.tickAsync(700);
		const first = await read();
		expect(first).to.include({long: 95});
		expect(Object.keys(first).length).to.be.below(14);
		await clock.tickAsync(2100);
		expect(Object.keys(await read())).to.have.length(14);
	});

	it('sends nothing while a write is unanswered, and stays within its budget', async () => {
		rows.switches.delayMs = 2000;
		await clock.tickAsync(2100);
		expect(rows.counts.commits).to.equal(2);
		rows.switches.delayMs = 0;
		event = 'x'.repeat(400);
		for (let i = 0; i < 40; i += 1) {
			texts = new Map([...texts].map(([id, count]) => [id, Math.min(140, count + 10)]));
			texts.set(`t${i}`, 140);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(700);
		}

		const bytes = Object.values(await read()).reduce((sum, count) => sum + (count * 400), 0);
		expect(bytes).to.be.below((200_000 * 31) + 600_000);
	});
});
