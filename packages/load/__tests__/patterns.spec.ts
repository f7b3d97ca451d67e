import {expect} from 'chai';
import {isReached} from '../src/model/figure.js';
import {patterns, runExperiment} from '../src/model/experiment.js';

/** Any seed will do for the patterns; this one is fixed so that the verdict is the same on each run. */
const seed = 1;

/**
 * Longest time for one pattern, in milliseconds. A pattern is some seconds of computing, and says nothing of the machine: "step" takes six where little else runs
 * and took more than twenty beside eight busy processes.
 */
const timeoutMs = 180_000;

describe('patterns of load', function () {
	this.timeout(timeoutMs);

	for (const name of Object.keys(patterns)) {
		it(`reaches what is asked under ${name}`, () => {
			const figures = runExperiment([name], seed);
			expect(figures.some(({bar}) => bar)).to.equal(true);
			expect(figures.filter(figure => !isReached(figure)).map(({measure, real}) => `${measure}: ${real}`)).to.deep.equal([]);
		});
	}

	it('gives the same figures for the same seed', () => {
		expect(runExperiment(['burst', 'placement'], 2)).to.deep.equal(runExperiment(['burst', 'placement'], 2));
	});

	it('says which patterns there are', () => {
		expect(() => runExperiment(['no-such'])).to.throw(RangeError, 'overload-2x');
	});
});
