import {expect} from 'chai';
import {isReached} from '../src/model/figure.js';
import {patterns, runExperiment} from '../src/model/experiment.js';

/** The patterns work with any seed; it is fixed so that every run gives the same result. */
const seed = 1;

/**
 * Timeout of one pattern, in milliseconds. A pattern computes for some seconds, and its figures don't depend on the speed of the machine: "step" takes 6 s on an
 * idle machine and took more than 20 s beside eight busy processes.
 */
const timeoutMs = 180_000;

describe('patterns of load', function () {
	this.timeout(timeoutMs);

	for (const name of Object.keys(patterns)) {
		it(`satisfies the bounds of ${name}`, () => {
			const figures = runExperiment([name], seed);
			expect(figures.some(({bar}) => bar)).to.equal(true);
			expect(figures.filter(figure => !isReached(figure)).map(({measure, real}) => `${measure}: ${real}`)).to.deep.equal([]);
		});
	}

	it('returns the same figures for the same seed', () => {
		expect(runExperiment(['burst', 'placement'], 2)).to.deep.equal(runExperiment(['burst', 'placement'], 2));
	});

	it('lists the known patterns in the error for an unknown one', () => {
		expect(() => runExperiment(['no-such'])).to.throw(RangeError, 'overload-2x');
	});
});
