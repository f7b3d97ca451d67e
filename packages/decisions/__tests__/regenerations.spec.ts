import {expect} from 'chai';
import {chooseRenewals, type RegenerationCandidate} from '../src/index.js';

function createText(changes: Partial<RegenerationCandidate> = {}): RegenerationCandidate {
	return {
		id: 'a', events: 100, oldestVersion: 1, isRenewed: false, ...changes,
	};
}

describe('chooseRenewals', () => {
	it('begins long texts of older weights a second time, the longest first', () => {
		const texts = [createText(), createText({id: 'b', events: 150}), createText({id: 'c', events: 20})];
		expect(chooseRenewals(texts, 2)).to.deep.equal(['b', 'a']);
	});

	it('leaves texts that the newest weights have made, and those that were begun a second time', () => {
		expect(chooseRenewals([createText({oldestVersion: 2}), createText({isRenewed: true})], 2)).to.deep.equal([]);
	});
});
