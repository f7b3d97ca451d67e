import {expect} from 'chai';
import {shouldOwnNext, type OwnerCandidate} from '../src/index.js';

const sound: OwnerCandidate = {silentMs: 300, lateMs: 2, batches: 2};

describe('shouldOwnNext', () => {
	it('keeps a trainer at a process that is alive and in time', () => {
		expect(shouldOwnNext(sound, 0.7)).to.equal(true);
	});

	it('does not give a batch to a process that is silent, late, or burdened with much more than others', () => {
		expect(shouldOwnNext({...sound, silentMs: 1000}, 0.7)).to.equal(false);
		expect(shouldOwnNext({...sound, lateMs: 60}, 0.7)).to.equal(false);
		expect(shouldOwnNext({...sound, batches: 5}, 0.7)).to.equal(false);
	});
});
