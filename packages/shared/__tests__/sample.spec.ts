import {expect} from 'chai';
import {appendSpan, findOldestVersion, formatSampleId} from '../src/index.js';

describe('sample', () => {
	it('merges tokens of one version into one span', () => {
		const spans = appendSpan(appendSpan([], 3, 5), 3, 2);
		expect(spans).to.deep.equal([{version: 3, from: 0, to: 7}]);
	});

	it('starts a new span where the version changes', () => {
		const spans = appendSpan(appendSpan([], 3, 5), 4, 2);
		expect(spans).to.deep.equal([{version: 3, from: 0, to: 5}, {version: 4, from: 5, to: 7}]);
	});

	it('finds the oldest version of any part', () => {
		expect(findOldestVersion([{version: 4, from: 0, to: 1}, {version: 2, from: 1, to: 2}])).to.equal(2);
	});

	it('formats the id from step, group and index', () => {
		expect(formatSampleId('s1', 2, 3)).to.equal('s1/2/3');
	});
});
