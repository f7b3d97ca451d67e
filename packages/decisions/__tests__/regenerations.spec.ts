import {expect} from 'chai';
import {chooseRegenerations, type RegenerationCandidate} from '../src/index.js';

function createCandidate(changes: Partial<RegenerationCandidate> = {}): RegenerationCandidate {
	return {
		id: 'a', events: 100, oldestVersion: 1, isRenewed: false, ...changes,
	};
}

describe('chooseRegenerations', () => {
	it('regenerates long generations of older weights, longest first', () => {
		const candidates = [createCandidate(), createCandidate({id: 'b', events: 150}), createCandidate({id: 'c', events: 20})];
		expect(chooseRegenerations(candidates, 2)).to.deep.equal(['b', 'a']);
	});

	it('leaves out generations of the newest weights and those already regenerated', () => {
		expect(chooseRegenerations([createCandidate({oldestVersion: 2}), createCandidate({isRenewed: true})], 2)).to.deep.equal([]);
	});
});
