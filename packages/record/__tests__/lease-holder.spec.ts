import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {LeaseHolder, TakeoverRateLimit, type LeaseSettings} from '../src/index.js';
import {Faults, FaultyTables, type Fault} from './faulty-storage.js';

const termMs = 6000;

function createHolder(tables: FaultyTables, holder: string, changes: Partial<LeaseSettings> = {}): LeaseHolder {
	return new LeaseHolder({
		tables, shard: 'rollout', holder, random: new Random(holder.length + (holder.codePointAt(0) ?? 0)), log: createSilentLog(), termMs, ...changes,
	});
}

describe('LeaseHolder', () => {
	let clock: Clock;
	let tables: FaultyTables;

	beforeEach(() => {
		clock = install();
		tables = new FaultyTables(new Faults());
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('is held by one of two processes for as long as it is renewed', async () => {
		const [a, b] = [createHolder(tables, 'a'), createHolder(tables, 'b')];
		a.start();
		await clock.tickAsync(1);
		b.start();
		await clock.tickAsync(10 * termMs);
		expect([a.holds(), b.holds()]).to.deep.equal([true, false]);
		expect(a.fence).to.equal(1);
		expect(b.owner?.holder).to.equal('a');
	});

	it('takes over a corrupt row after a term, with a higher fence than any that was used', async () => {
		const a = createHolder(tables, 'a');
		a.start();
		await clock.tickAsync(10 * termMs);
		const {fence} = a;
		a.stop();
		const row = await tables.read('leases', 'rollout');
		const [version] = await tables.transact([{
			table: 'leases', key: 'rollout', expect: row!.version, value: {holder: 7, fence: 'x'},
		}]);
		const b = createHolder(tables, 'b');
		b.start();
		await clock.tickAsync(termMs / 2);
		expect(b.holds()).to.equal(false);
		await clock.tickAsync(2 * termMs);
		expect(b.holds()).to.equal(true);
		expect(b.fence).to.be.greaterThan(Math.max(fence, version!));
		b.stop();
	});

	it('allows an effect only if the lease lasts until the effect has arrived', async () => {
		const a = createHolder(tables, 'a');
		await a.attempt();
		await clock.tickAsync(termMs * 0.9 / 2);
		expect([a.holds(), a.holds(termMs * 0.9 / 2), a.holds(1000)]).to.deep.equal([true, false, true]);
	});

	it('does not count as held after a suspension during which the monotonic clock stood still', async () => {
		const a = createHolder(tables, 'a');
		a.start();
		await clock.tickAsync(1);
		expect(a.holds()).to.equal(true);
		clock.setSystemTime(Date.now() + 4000);
		expect(a.holds()).to.equal(false);
		await clock.tickAsync(termMs);
		expect(a.holds()).to.equal(true);
	});

	it('expires for a paused holder before another process can take over', async () => {
		const [a, b] = [createHolder(tables, 'a'), createHolder(tables, 'b')];
		await a.attempt();
		b.start();
		let overlaps = 0;
		for (let i = 0; i < 200 && !b.holds(); i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
			overlaps += a.holds() && b.holds() ? 1 : 0;
		}

		expect(overlaps).to.equal(0);
		expect(b.fence).to.equal(2);
		expect(a.holds()).to.be.false;
		// The paused holder resumes, and its renewal finds the other's row.
		await a.attempt();
		expect([a.holds(), a.fence, b.holds()]).to.deep.equal([false, 0, true]);
	});

	it('counts its term from before the request was sent', async () => {
		const a = createHolder(tables, 'a');
		tables.faults.delayMs = 2000;
		const attempt = a.attempt();
		await clock.tickAsync(4000);
		await attempt;
		// The read took 2 s and so did the write, which was sent at 2 s.
		expect(a.holds()).to.be.true;
		await clock.tickAsync(2000 + (termMs * 0.9) - 4000 + 1);
		expect(a.holds()).to.be.false;
	});

	it('resolves a lost answer by reading the row back', async () => {
		const a = createHolder(tables, 'a');
		tables.faults.next = ['lost-after'];
		expect(await a.attempt()).to.be.true;
		tables.faults.next = ['lost-before'];
		expect(await a.attempt()).to.be.true;
		expect(a.fence).to.equal(1);
	});

	it('keeps the lease through an outage that is shorter than its term, and no longer', async () => {
		const a = createHolder(tables, 'a');
		a.start();
		await clock.tickAsync(1);
		tables.faults.standing = 'down';
		await clock.tickAsync(termMs * 0.8);
		expect(a.holds()).to.be.true;
		await clock.tickAsync(termMs * 0.2);
		expect(a.holds()).to.be.false;
		tables.faults.standing = 'none';
		await clock.tickAsync(termMs);
		expect([a.holds(), a.fence]).to.deep.equal([true, 1]);
	});

	it('can be acquired by another process right after a release, with a higher fence', async () => {
		const [a, b] = [createHolder(tables, 'a'), createHolder(tables, 'b')];
		await a.attempt();
		await a.release();
		expect(a.holds()).to.be.false;
		expect(await b.attempt()).to.be.true;
		expect(b.fence).to.equal(2);
	});

	it('does not treat a restarted process as its predecessor', async () => {
		const [a, restarted] = [createHolder(tables, 'a'), createHolder(tables, 'a')];
		await a.attempt();
		expect(await restarted.attempt()).to.be.false;
	});

	it('takes over the lease of its earlier start at once if it is the only process on its host, with a higher fence', async () => {
		await createHolder(tables, 'a').attempt();
		const [again, other] = [createHolder(tables, 'a', {isOnlyOnHost: true}), createHolder(tables, 'b', {isOnlyOnHost: true})];
		await other.attempt();
		expect(other.holds()).to.equal(false);
		await again.attempt();
		expect([again.holds(), again.fence]).to.deep.equal([true, 2]);
	});

	it('limits the takeover rate when many holders crash at once', async () => {
		const pace = new TakeoverRateLimit(2);
		const leases = Array.from({length: 40}, (_, index) => index);
		const dead = leases.map(index => new LeaseHolder({
			tables, shard: `shard/${index}`, holder: 'dead', random: new Random(index), log: createSilentLog(), termMs,
		}));
		await Promise.all(dead.map(async holder => holder.attempt()));
		const successors = leases.map(index => new LeaseHolder({
			tables, shard: `shard/${index}`, holder: 'heir', random: new Random(index), log: createSilentLog(), termMs, takeoverLimit: pace,
		}));
		for (const successor of successors) {
			successor.start();
		}

		const countHeld = () => successors.filter(successor => successor.fence > 0).length;
		let mostInSecond = 0;
		const readsBefore = tables.faults.reads;
		for (let second = 0, before = 0; second < 60; second += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1000);
			mostInSecond = Math.max(mostInSecond, countHeld() - before);
			before = countHeld();
		}

		expect(countHeld()).to.equal(40);
		expect(mostInSecond).to.be.at.most(4);
		// Forty leases, each read at most every 1.8 s, for the 20 s that the rate limit takes.
		expect(tables.faults.reads - readsBefore).to.be.below(40 * 20);
	});

	it('is never held by two processes, whatever answers are lost and whichever process pauses', async () => {
		const step = fc.record({
			actor: fc.integer({min: 0, max: 2}),
			fault: fc.constantFrom<Fault>('none', 'none', 'lost-after', 'lost-before', 'down'),
			delayMs: fc.constantFrom(0, 0, 100, 2500),
			passMs: fc.constantFrom(10, 900, 2000, 5400, 9000),
		});
		await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 25}), async steps => {
			const store = new FaultyTables(new Faults());
			const holders = ['a', 'b', 'c'].map(name => createHolder(store, name));
			let lastFence = 0;
			for (const {actor, fault, delayMs, passMs} of steps) {
				store.faults.next = [fault];
				store.faults.delayMs = delayMs;
				void holders[actor]!.attempt();
				for (let passed = 0; passed < passMs; passed += 450) {
					// eslint-disable-next-line no-await-in-loop
					await clock.tickAsync(Math.min(450, passMs - passed));
					const holding = holders.filter(holder => holder.holds());
					expect(holding.length).to.be.at.most(1);
					const fence = holding[0]?.fence ?? lastFence;
					expect(fence).to.be.at.least(lastFence);
					lastFence = fence;
				}
			}
		}), {numRuns: 60, seed: 1});
	});
});
