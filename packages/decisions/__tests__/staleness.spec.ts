import {expect} from 'chai';
import {
	isStale, decideDispatch, observeVersion, shouldCancel,
} from '../src/index.js';

const forecast = {current: 10, since: 0, intervalMs: 100_000};

function createWork(changes = {}) {
	return {
		engineVersion: 10, finishAt: 50_000, stepsAhead: 0, ...changes,
	};
}

describe('judgeDispatch', () => {
	it('starts work that will be fresh enough when it is done', () => {
		expect(decideDispatch({versions: 0}, forecast, createWork(), 0)).to.equal('start');
		expect(decideDispatch({versions: 1}, forecast, createWork({finishAt: 150_000}), 60_000)).to.equal('start');
	});

	it('delays work that a version in between would make stale', () => {
		expect(decideDispatch({versions: 0}, forecast, createWork({finishAt: 120_000}), 60_000)).to.equal('wait');
	});

	it('waits for the swap of an endpoint with older weights', () => {
		expect(decideDispatch({versions: 0}, forecast, createWork({engineVersion: 9}), 0)).to.equal('wait');
	});

	it('starts work for later steps only within the bound', () => {
		expect(decideDispatch({versions: 0}, forecast, createWork({stepsAhead: 1}), 0)).to.equal('wait');
		expect(decideDispatch({versions: 1}, forecast, createWork({stepsAhead: 1}), 0)).to.equal('start');
		expect(decideDispatch({versions: 1}, forecast, createWork({stepsAhead: 2}), 0)).to.equal('wait');
	});

	it('does not wait forever with work that can never be in time', () => {
		expect(decideDispatch({versions: 0}, forecast, createWork({finishAt: 300_000}), 60_000)).to.equal('start');
	});
});

describe('isStale', () => {
	it('considers versions and seconds since a newer one', () => {
		expect(isStale({versions: 1}, {oldestVersion: 9}, 10, 0)).to.equal(false);
		expect(isStale({versions: 1}, {oldestVersion: 8}, 10, 0)).to.equal(true);
		expect(isStale({versions: 9, seconds: 60}, {oldestVersion: 9, supersededAt: 0}, 10, 60_000)).to.equal(false);
		expect(isStale({versions: 9, seconds: 60}, {oldestVersion: 9, supersededAt: 0}, 10, 60_001)).to.equal(true);
	});

	it('cancels a sample that has become stale for its step', () => {
		expect(shouldCancel({versions: 1}, {oldestVersion: 9}, {current: 10, stepsAhead: 0}, 0)).to.equal(false);
		expect(shouldCancel({versions: 1}, {oldestVersion: 9}, {current: 10, stepsAhead: 1}, 0)).to.equal(true);
	});
});

describe('observeVersion', () => {
	it('measures the usual interval and never goes back', () => {
		let observed = observeVersion(undefined, 3, 0);
		observed = observeVersion(observed, 4, 100);
		observed = observeVersion(observed, 6, 500);
		expect(observed).to.deep.equal({current: 6, since: 500, intervalMs: 150});
		expect(observeVersion(observed, 5, 600)).to.equal(observed);
	});
});
