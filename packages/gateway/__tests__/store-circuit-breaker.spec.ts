import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {MemoryRowStore} from '@wasabiusher/standins';
import {StoreCircuitBreaker} from '../src/store-circuit-breaker.js';

const nothing = {conditions: [], puts: [], deletes: []};

describe('StoreCircuitBreaker', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let breaker: StoreCircuitBreaker;

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
		breaker = new StoreCircuitBreaker(store);
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

	it('fails calls at once after an unanswered call, until the store answers again', async () => {
		store.switches.silentMs = 700;
		expect(await catchCode(breaker.commit(nothing), 700)).to.equal('unknown');
		expect(await catchCode(breaker.commit(nothing))).to.equal('unavailable');
		expect(store.counts.commits).to.equal(1);
		store.switches.silentMs = 0;
		expect(await catchCode(breaker.follow('t', 0, 0))).to.equal('none');
		expect(await catchCode(breaker.commit(nothing))).to.equal('none');
	});

	it('sends reads of the probing view while it fails other calls', async () => {
		store.switches.silentMs = 700;
		await catchCode(breaker.commit(nothing), 700);
		store.switches.silentMs = 0;
		expect(await catchCode(breaker.read({table: 't', part: ''}))).to.equal('unavailable');
		expect(await catchCode(breaker.probing.read({table: 't', part: ''}))).to.equal('none');
		expect(breaker.isTripped).to.equal(false);
	});

	it('trips after four consecutive refusals, not after three', async () => {
		store.switches.isDown = true;
		for (let i = 0; i < 3; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await catchCode(breaker.commit(nothing), 150);
		}

		expect(breaker.isTripped).to.equal(false);
		await catchCode(breaker.commit(nothing), 150);
		expect(breaker.isTripped).to.equal(true);
		expect(await catchCode(breaker.guard(store).put('x', new Uint8Array()))).to.equal('unavailable');
		store.switches.isDown = false;
		await catchCode(breaker.follow('t', 0, 0));
		expect(breaker.isTripped).to.equal(false);
	});

	it('does not trip on an unanswered wait for changes while the store answers other calls, and trips once it answers none', async () => {
		const hanging = store.createView();
		hanging.switches.silentMs = 1600;
		let other = store;
		const mixed = new StoreCircuitBreaker({
			commit: async transaction => other.commit(transaction),
			read: async range => other.read(range),
			follow: async (table, after, waitMs) => hanging.follow(table, after, waitMs),
		});
		expect(await catchCode(mixed.follow('t', 0, 1000), 1600)).to.equal('unknown');
		await clock.tickAsync(1);
		expect(mixed.isTripped).to.equal(false);
		expect(await catchCode(mixed.commit(nothing))).to.equal('none');
		other = hanging;
		await catchCode(mixed.follow('t', 0, 1000), 1600);
		await clock.tickAsync(1600);
		expect(mixed.isTripped).to.equal(true);
	});

	it('notifies the recovery listener once after an outage, and not before', async () => {
		let notifications = 0;
		breaker.setRecoveryListener(() => {
			notifications += 1;
		});
		await catchCode(breaker.commit(nothing));
		store.switches.silentMs = 700;
		await catchCode(breaker.commit(nothing), 700);
		store.switches.silentMs = 0;
		expect(notifications).to.equal(0);
		await catchCode(breaker.follow('t', 0, 0));
		await catchCode(breaker.commit(nothing));
		expect(notifications).to.equal(1);
	});

	it('notifies the recovery listener at the first served call, also after a refusal', async () => {
		let refusal: PlatformError | undefined;
		const busy = new StoreCircuitBreaker({
			commit: async transaction => store.commit(transaction),
			async read(range) {
				if (refusal) {
					throw refusal;
				}

				return store.read(range);
			},
			follow: async (table, after, waitMs) => store.follow(table, after, waitMs),
		});
		let notifications = 0;
		busy.setRecoveryListener(() => {
			notifications += 1;
		});
		store.switches.silentMs = 700;
		await catchCode(busy.commit(nothing), 700);
		store.switches.silentMs = 0;
		refusal = new PlatformError('limited', 'beyond the rate');
		expect(await catchCode(busy.probing.read({table: 't', part: ''}))).to.equal('limited');
		expect(notifications).to.equal(0);
		refusal = undefined;
		expect(await catchCode(busy.probing.read({table: 't', part: ''}))).to.equal('none');
		expect(notifications).to.equal(1);
	});

	it('does not trip on a call that was sent before the last answer', async () => {
		store.switches.silentMs = 1400;
		const late = catchCode(breaker.probing.read({table: 't', part: ''}));
		store.switches.silentMs = 700;
		await catchCode(breaker.commit(nothing), 700);
		expect(breaker.isTripped).to.equal(true);
		store.switches.silentMs = 0;
		await catchCode(breaker.follow('t', 0, 0), 1);
		expect(breaker.isTripped).to.equal(false);
		await clock.tickAsync(700);
		expect(await late).to.equal('unknown');
		expect(breaker.isTripped).to.equal(false);
		expect(await catchCode(breaker.commit(nothing))).to.equal('none');
	});

	it('treats a conflict as an answer', async () => {
		for (let i = 0; i < 6; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await catchCode(breaker.commit({
				...nothing, conditions: [{
					table: 't', part: '', key: 'k', version: 7,
				}],
			}), 150);
		}

		expect(breaker.isTripped).to.equal(false);
	});

	it('tracks the store\'s clock', async () => {
		await catchCode(breaker.commit(nothing));
		await clock.tickAsync(500);
		expect(breaker.storeMs).to.equal(performance.now());
	});
});
