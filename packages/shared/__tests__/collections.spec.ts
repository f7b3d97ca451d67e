import {expect} from 'chai';
import {dropOldest, findLowerMedian} from '../src/index.js';

describe('dropOldest', () => {
	it('removes the oldest entries of maps and sets, and none within the maximum size', () => {
		const map = new Map([['a', 1], ['b', 2], ['c', 3]]);
		dropOldest(map, 2);
		expect([...map.keys()]).to.deep.equal(['b', 'c']);
		const set = new Set([1, 2, 3, 4]);
		dropOldest(set, 1);
		expect([...set]).to.deep.equal([4]);
		dropOldest(set, 5);
		expect(set.size).to.equal(1);
	});
});

describe('findMiddle', () => {
	it('returns the lower median in any order of the values, and undefined if there are none', () => {
		expect([findLowerMedian([9, 1, 5]), findLowerMedian([4, 3]), findLowerMedian([])]).to.deep.equal([5, 3, undefined]);
	});
});
