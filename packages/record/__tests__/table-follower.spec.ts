import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createSilentLog, Log, Random} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {TableFollower} from '../src/index.js';

describe('TableFollower', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let view: MemoryRowStore;
	let rows: Map<string, string>;
	let follower: TableFollower;

	async function put(key: string, value: string): Promise<void> {
		await store.commit({
			conditions: [], deletes: [], puts: [{
				table: 't', part: '', key, value: Buffer.from(value),
			}],
		});
	}

	async function drop(key: string): Promise<void> {
		await store.commit({conditions: [], puts: [], deletes: [{table: 't', part: '', key}]});
	}

	beforeEach(async () => {
		clock = install();
		store = new MemoryRowStore();
		view = store.createView();
		rows = new Map();
		await put('a', '1');
		follower = new TableFollower({
			store: view, table: 't', parts: [''], log: createSilentLog(), waitMs: 1000, apply({key, value}) {
				if (value) {
					rows.set(key, Buffer.from(value).toString());
				} else {
					rows.delete(key);
				}
			},
		});
		void follower.run();
		await clock.tickAsync(1);
	});

	afterEach(async () => {
		follower.stop();
		await clock.tickAsync(2000);
		clock.uninstall();
	});

	it('skips rows that can not be applied, logs each version once, and limits the lines in ten seconds', async () => {
		follower.stop();
		const lines: string[] = [];
		const log = new Log('test', 'info', line => {
			lines.push(line);
		});
		const seen: string[] = [];
		const strict = new TableFollower({
			store: view, table: 't', parts: [''], log, waitMs: 1000, apply({key}) {
				if (key.startsWith('bad')) {
					throw new Error('no form');
				}

				seen.push(key);
			},
		});
		await put('bad', 'x');
		await put('z', '1');
		void strict.run();
		await clock.tickAsync(1);
		expect([strict.isSynced, strict.isDown, ...seen]).to.deep.equal([true, false, 'a', 'z']);
		for (let i = 0; i < 50; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await put(`bad${i}`, 'x');
		}

		await put('y', '1');
		await clock.tickAsync(1);
		expect(seen).to.include('y');
		expect(lines.filter(line => line.includes('row_invalid'))).to.have.length(5);
		await clock.tickAsync(10_000);
		await put('bad', 'y');
		await clock.tickAsync(1);
		expect(lines.at(-1)).to.include('untold=46');
		strict.stop();
	});

	it('abandons the call in progress and calls again at once when hurried after the store was silent', async () => {
		view.switches.silentMs = 1500;
		await put('a', '2');
		await clock.tickAsync(1100);
		await put('b', '3');
		view.switches.silentMs = 0;
		await clock.tickAsync(200);
		expect([...rows]).to.deep.equal([['a', '2']]);
		follower.hurry();
		await clock.tickAsync(1);
		expect([...rows]).to.deep.equal([['a', '2'], ['b', '3']]);
		await drop('b');
		await clock.tickAsync(3000);
		expect([...rows]).to.deep.equal([['a', '2']]);
	});

	it('reads the existing rows, then each change as it is made', async () => {
		expect([...rows]).to.deep.equal([['a', '1']]);
		await put('a', '2');
		await put('b', '3');
		await clock.tickAsync(1);
		expect([...rows]).to.deep.equal([['a', '2'], ['b', '3']]);
		await drop('a');
		await clock.tickAsync(1);
		expect([...rows]).to.deep.equal([['b', '3']]);
	});

	it('detects removed rows after the history was lost', async () => {
		await put('b', '3');
		await clock.tickAsync(1);
		view.switches.isDown = true;
		await clock.tickAsync(1500);
		await drop('a');
		await put('c', '4');
		store.compact();
		view.switches.isDown = false;
		await clock.tickAsync(600);
		expect([...rows]).to.deep.equal([['b', '3'], ['c', '4']]);
	});

	it('reads changes made during an outage soon after its end', async () => {
		view.switches.isDown = true;
		await clock.tickAsync(5000);
		await put('a', '2');
		expect(follower.isDown).to.equal(true);
		view.switches.isDown = false;
		await clock.tickAsync(300);
		expect([...rows]).to.deep.equal([['a', '2']]);
		expect(follower.isDown).to.equal(false);
	});

	it('reports the time since the last answer of the store', async () => {
		await clock.tickAsync(3000);
		expect(follower.ageMs).to.be.at.most(1000);
		view.switches.isDown = true;
		await clock.tickAsync(4000);
		expect(follower.ageMs).to.be.at.least(3000);
	});

	it('calls a few times a second for rows that change continuously, and misses no change', async () => {
		const seen: string[] = [];
		const gathering = new TableFollower({
			store: view, table: 't', parts: [''], log: createSilentLog(), waitMs: 1000, batchingMs: 150, apply({value}) {
				seen.push(Buffer.from(value ?? []).toString());
			},
		});
		void gathering.run();
		follower.stop();
		await clock.tickAsync(1100);
		const before = view.counts.follows;
		for (let i = 0; i < 100; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await put(`k${i % 10}`, String(i));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20);
		}

		await clock.tickAsync(200);
		expect(view.counts.follows - before).to.be.within(10, 17);
		expect(seen.at(-1)).to.equal('99');
		gathering.stop();
	});

	it('spreads the reading of a lost table over time on 88 hosts, and keeps the known rows meanwhile', async () => {
		const random = new Random(7);
		const views = Array.from({length: 88}, () => store.createView());
		const followers = views.map(hostView => new TableFollower({
			store: hostView, table: 't', parts: [''], log: createSilentLog(), waitMs: 500, chance: () => random.next(), apply() {
				// The rows are irrelevant here.
			},
		}));
		for (const one of followers) {
			void one.run();
		}

		await clock.tickAsync(10);
		const countReads = () => views.reduce((sum, {counts}) => sum + counts.reads, 0);
		for (const {switches} of views) {
			switches.isDown = true;
		}

		await clock.tickAsync(600);
		await put('a', '3');
		store.compact();
		for (const {switches} of views) {
			switches.isDown = false;
		}

		const reads: number[] = [];
		for (let i = 0; i < 60; i += 1) {
			const before = countReads();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(25);
			reads.push(countReads() - before);
			expect(followers.every(({isSynced}) => isSynced)).to.equal(true);
		}

		expect(reads.reduce((sum, count) => sum + count, 0)).to.equal(88);
		expect(Math.max(...reads)).to.be.below(20);
		for (const one of followers) {
			one.stop();
		}
	});
});
