import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {MemoryRowStore} from '@wasabiusher/standins';
import {StoreGate} from '../src/store-gate.js';

const nothing = {conditions: [], puts: [], deletes: []};

describe('StoreGate', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let gate: StoreGate;

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
		gate = new StoreGate(store);
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function catchCode(work: Promise<unknown>, ms = 0): Promise<string> {
		const outcome = (async () => {
			try {
				await work;
			} catch (error) {
				return error instanceof PlatformError ? error.code : String(error);
			}

			return 'none';
		})();
		await clock.tickAsync(ms);
		return outcome;
	}

	it('refuses at once after a call that was not answered, until the store is heard again', async () => {
		store.switches.silentMs = 700;
		expect(await catchCode(gate.commit(nothing), 700)).to.equal('unknown');
		expect(await catchCode(gate.commit(nothing))).to.equal('unavailable');
		expect(store.counts.commits).to.equal(1);
		store.switches.silentMs = 0;
		expect(await catchCode(gate.follow('t', 0, 0))).to.equal('none');
		expect(await catchCode(gate.commit(nothing))).to.equal('none');
	});

	it('lets those who ask on read while others are refused', async () => {
		store.switches.silentMs = 700;
		await catchCode(gate.commit(nothing), 700);
		store.switches.silentMs = 0;
		expect(await catchCode(gate.read({table: 't', part: ''}))).to.equal('unavailable');
		expect(await catchCode(gate.probing.read({table: 't', part: ''}))).to.equal('none');
		expect(gate.isLost).to.equal(false);
	});

	it('refuses at once after many refusals in a row, not after a few', async () => {
		store.switches.isDown = true;
		for (let i = 0; i < 3; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await catchCode(gate.commit(nothing), 150);
		}

		expect(gate.isLost).to.equal(false);
		await catchCode(gate.commit(nothing), 150);
		expect(gate.isLost).to.equal(true);
		expect(await catchCode(gate.guard(store).put('x', new Uint8Array()))).to.equal('unavailable');
		store.switches.isDown = false;
		await catchCode(gate.follow('t', 0, 0));
		expect(gate.isLost).to.equal(false);
	});

	it('does not take a feed that hangs for a loss while the store answers other calls, and does once it leaves those too', async () => {
		const hanging = store.createView();
		hanging.switches.silentMs = 1600;
		let other = store;
		const mixed = new StoreGate({
			commit: async transaction => other.commit(transaction),
			read: async range => other.read(range),
			follow: async (table, after, waitMs) => hanging.follow(table, after, waitMs),
		});
		expect(await catchCode(mixed.follow('t', 0, 1000), 1600)).to.equal('unknown');
		await clock.tickAsync(1);
		expect(mixed.isLost).to.equal(false);
		expect(await catchCode(mixed.commit(nothing))).to.equal('none');
		other = hanging;
		await catchCode(mixed.follow('t', 0, 1000), 1600);
		await clock.tickAsync(1600);
		expect(mixed.isLost).to.equal(true);
	});

	it('tells once that the store answers again, and of no answer before', async () => {
		let told = 0;
		gate.watchRegained(() => {
			told += 1;
		});
		await catchCode(gate.commit(nothing));
		store.switches.silentMs = 700;
		await catchCode(gate.commit(nothing), 700);
		store.switches.silentMs = 0;
		expect(told).to.equal(0);
		await catchCode(gate.follow('t', 0, 0));
		await catchCode(gate.commit(nothing));
		expect(told).to.equal(1);
	});

	it('tells of the return at the first call that is served, also after a refusal', async () => {
		let refusal: PlatformError | undefined;
		const busy = new StoreGate({
			commit: async transaction => store.commit(transaction),
			async read(range) {
				if (refusal) {
					throw refusal;
				}

				return store.read(range);
			},
			follow: async (table, after, waitMs) => store.follow(table, after, waitMs),
		});
		let told = 0;
		busy.watchRegained(() => {
			told += 1;
		});
		store.switches.silentMs = 700;
		await catchCode(busy.commit(nothing), 700);
		store.switches.silentMs = 0;
		refusal = new PlatformError('limited', 'beyond the rate');
		expect(await catchCode(busy.probing.read({table: 't', part: ''}))).to.equal('limited');
		expect(told).to.equal(0);
		refusal = undefined;
		expect(await catchCode(busy.probing.read({table: 't', part: ''}))).to.equal('none');
		expect(told).to.equal(1);
	});

	it('does not take a store for lost by a call that was sent before its last answer', async () => {
		store.switches.silentMs = 1400;
		const late = catchCode(gate.probing.read({table: 't', part: ''}));
		store.switches.silentMs = 700;
		await catchCode(gate.commit(nothing), 700);
		expect(gate.isLost).to.equal(true);
		store.switches.silentMs = 0;
		await catchCode(gate.follow('t', 0, 0), 1);
		expect(gate.isLost).to.equal(false);
		await clock.tickAsync(700);
		expect(await late).to.equal('unknown');
		expect(gate.isLost).to.equal(false);
		expect(await catchCode(gate.commit(nothing))).to.equal('none');
	});

	it('takes a conflict for an answer', async () => {
		for (let i = 0; i < 6; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await catchCode(gate.commit({
				...nothing, conditions: [{
					table: 't', part: '', key: 'k', version: 7,
				}],
			}), 150);
		}

		expect(gate.isLost).to.equal(false);
	});

	it('keeps the store\'s clock', async () => {
		await catchCode(gate.commit(nothing));
		await clock.tickAsync(500);
		expect(gate.storeMs).to.equal(performance.now());
	});
});
