import {expect} from 'chai';
import {
	addWindowCounts, burnWindowNames, judgeBurn, mapBurnWindows, ObjectiveCounts, type BurnCounts,
} from '../src/index.js';

const minuteMs = 60_000;

function countAll(counts: ObjectiveCounts, now: number): BurnCounts {
	return mapBurnWindows(window => counts.countOver(window, now));
}

/** Records ten requests a minute, of which `countFailed` returns the number that fail in a minute. */
function observe(minutes: number, countFailed: (minute: number) => number): {counts: ObjectiveCounts; now: number} {
	const counts = new ObjectiveCounts(0);
	for (let minute = 0; minute < minutes; minute += 1) {
		for (let i = 0; i < 10; i += 1) {
			counts.record(i >= countFailed(minute), minute * minuteMs);
		}
	}

	return {counts, now: (minutes * minuteMs) - 1};
}

describe('burn rate', () => {
	it('counts the events of each window and drops those older than the longest', () => {
		const {counts, now} = observe(400, () => 1);
		expect(burnWindowNames.map(window => counts.countOver(window, now).total)).to.deep.equal([50, 300, 600, 3600]);
		expect(counts.countOver('fiveMinutes', now)).to.deep.equal({good: 45, total: 50, coveredMs: 300_000});
	});

	it('is 1 when the budget is spent exactly', () => {
		const {counts, now} = observe(360, () => 1);
		const {rates, budgetLeft, alerts} = judgeBurn(0.9, countAll(counts, now));
		expect(rates.sixHours).to.be.closeTo(1, 1e-9);
		expect(budgetLeft).to.be.closeTo(0, 1e-9);
		expect(alerts).to.deep.equal([]);
	});

	it('reports a full outage within ten minutes', () => {
		const {counts, now} = observe(360, minute => minute >= 350 ? 10 : 0);
		expect(judgeBurn(0.99, countAll(counts, now)).alerts).to.deep.equal(['fast']);
	});

	it('reports a leak that is too slow for the fast alert', () => {
		const {counts, now} = observe(360, minute => minute % 2);
		expect(judgeBurn(0.995, countAll(counts, now)).alerts).to.deep.equal(['slow']);
	});

	it('stops the alert once the outage is over', () => {
		const {counts, now} = observe(360, minute => minute >= 300 && minute < 355 ? 10 : 0);
		const {alerts, budgetLeft} = judgeBurn(0.99, countAll(counts, now));
		expect(alerts).to.deep.equal(['slow']);
		expect(budgetLeft).to.be.lessThan(0);
		const later = observe(360, minute => minute >= 270 && minute < 325 ? 10 : 0);
		expect(judgeBurn(0.99, countAll(later.counts, later.now)).alerts).to.deep.equal([]);
	});

	it('does not alert on one failure among few requests', () => {
		const counts = new ObjectiveCounts(0);
		counts.record(true, 0);
		counts.record(false, 0);
		expect(judgeBurn(0.999, countAll(counts, 1)).alerts).to.deep.equal([]);
		counts.record(false, 0);
		expect(judgeBurn(0.999, countAll(counts, 1)).alerts).to.deep.equal(['fast', 'slow']);
	});

	it('lists the windows without complete data', () => {
		const counts = new ObjectiveCounts(0);
		const {empty, partial, budgetLeft} = judgeBurn(0.9, countAll(counts, 10 * minuteMs));
		expect(empty).to.deep.equal(burnWindowNames);
		expect(partial).to.deep.equal(['halfHour', 'oneHour', 'sixHours']);
		expect(budgetLeft).to.equal(undefined);
	});

	it('adds up the counts of several processes, with the shortest observed time', () => {
		expect(addWindowCounts([{good: 9, total: 10, coveredMs: 50}, {good: 1, total: 5, coveredMs: 20}])).to.deep.equal({good: 10, total: 15, coveredMs: 20});
	});
});
