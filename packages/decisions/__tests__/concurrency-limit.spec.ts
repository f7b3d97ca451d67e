import {expect} from 'chai';
import {ConcurrencyLimit, LoadEstimator} from '../src/index.js';

/** Runs a limit against an endpoint whose latency grows when more than `capacity` requests run. */
function runRequests(limit: ConcurrencyLimit, capacity: number, from: number, rounds: number): void {
	let now = from;
	for (let i = 0; i < rounds; i++) {
		const inFlight = limit.limit;
		const latencyMs = 100 * Math.max(1, inFlight / capacity);
		now += latencyMs / inFlight;
		limit.record(latencyMs, inFlight, false, now);
	}
}

describe('ConcurrencyLimit', () => {
	it('grows while latency is stable and stops near the point where requests begin to wait', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 200, initial: 4});
		runRequests(limit, 16, 0, 5000);
		expect(limit.limit).to.be.within(16, 40);
	});

	it('lends the reserved slots again without interactive requests', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 8, initial: 8});
		limit.observeInteractive(4, 0);
		limit.observeInteractive(0, 60_000);
		expect(limit.limitFor('rollout', 60_000)).to.equal(4);
		// No observation since.
		expect(limit.limitFor('rollout', 120_000)).to.equal(7);
	});

	it('replaces a floor from before the endpoint slowed down', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 200, initial: 16});
		runRequests(limit, 16, 0, 2000);
		for (let now = 100_000; now < 200_000; now += 20) {
			limit.record(300, limit.limit, false, now);
		}

		expect(limit.limit).to.be.at.least(16);
	});

	it('measures the floor at half the limit, without requests started before', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 16, initial: 16});
		for (let now = 0; now <= 40_000; now += 50) {
			limit.record(now < 1000 ? 100 : 160, 16, false, now);
			if (limit.limit === 8) {
				break;
			}
		}

		expect(limit.limit).to.equal(8);
		for (let i = 0; i < 32; i++) {
			limit.record(1000, 16, false, 41_000);
		}

		expect(limit.limit).to.equal(8);
		for (let i = 0; i < 16; i++) {
			limit.record(150, 8, false, 42_000);
		}

		expect(limit.limit).to.equal(16);
	});

	it('shrinks when the endpoint reports waiting requests', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 100, initial: 50});
		limit.record(100, 20, false, 0);
		limit.recordWaiting(0, 1000);
		expect(limit.limit).to.equal(50);
		limit.recordWaiting(3, 1000);
		expect(limit.limit).to.equal(45);
	});

	it('shrinks on refusals, once per burst', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 100, initial: 50});
		limit.record(100, 50, false, 0);
		const before = limit.limit;
		for (let i = 0; i < 20; i++) {
			limit.record(100, 50, true, 1000);
		}

		expect(limit.limit).to.be.within(Math.floor(before * 0.89), before - 1);
	});

	it('does not grow while it is not used', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 100, initial: 10});
		for (let i = 0; i < 1000; i++) {
			limit.record(100, 2, false, i);
		}

		expect(limit.limit).to.equal(10);
	});

	it('reserves slots for interactive requests by their recent use', () => {
		const limit = new ConcurrencyLimit({min: 1, max: 8, initial: 8});
		expect([limit.limitFor('interactive', 0), limit.limitFor('rollout', 0), limit.limitFor('background', 0)]).to.deep.equal([8, 7, 6]);
		for (let now = 0; now <= 30_000; now += 100) {
			limit.observeInteractive(now % 200 === 0 ? 4 : 0, now);
		}

		// About four concurrent requests recently, four of them in flight at the end.
		expect(limit.limitFor('rollout', 30_000)).to.equal(7);
		limit.observeInteractive(0, 30_100);
		expect(limit.limitFor('rollout', 30_100)).to.be.within(4, 5);
	});
});

describe('LoadEstimator', () => {
	it('adds the requests sent since the report was measured', () => {
		const load = new LoadEstimator();
		load.recordSent(100);
		load.receive({load: 5, measuredAt: 150});
		load.recordSent(200);
		load.recordSent(300);
		expect(load.load).to.equal(7);
		load.receive({load: 9, measuredAt: 250});
		expect(load.load).to.equal(10);
		load.recordEnded(320);
		expect(load.load).to.equal(9);
	});

	it('ignores an outdated report, and never counts less than its own requests', () => {
		const load = new LoadEstimator();
		load.receive({load: 3, measuredAt: 200});
		load.receive({load: 50, measuredAt: 100});
		expect(load.load).to.equal(3);
		load.recordSent(210);
		load.recordSent(220);
		load.receive({load: 0, measuredAt: 300});
		expect(load.load).to.equal(2);
	});

	it('trusts a report less, the more of its requests have ended since', () => {
		const load = new LoadEstimator();
		load.recordSent(0);
		load.receive({load: 11, measuredAt: 100});
		expect(load.estimate(100, 200)).to.equal(11);
		expect(load.estimate(300, 200)).to.be.within(4, 5.5);
		// After a long time only its own requests and the mean of others count.
		expect(load.estimate(10_000, 200)).to.be.within(1, 2);
		for (let at = 200; at <= 20_000; at += 100) {
			load.receive({load: 11, measuredAt: at});
		}

		expect(load.estimate(30_000, 200)).to.be.within(10, 11);
	});
});
