import {expect} from 'chai';
import {findSlowPaceMs, hasExpectedHeadroom, type EndpointOccupancy} from '../src/index.js';

function createOccupancy(changes: Partial<EndpointOccupancy> = {}): EndpointOccupancy {
	return {
		slots: 4, open: 0, openElsewhere: 0, ageMs: 0, workMs: 40, ...changes,
	};
}

describe('hasExpectedHeadroom', () => {
	it('allows one open request more than slots, so that none is idle for a round trip', () => {
		expect([4, 5].map(open => hasExpectedHeadroom(createOccupancy({open})))).to.deep.equal([true, false]);
	});

	it('trusts the reported requests of others until they have probably ended', () => {
		const occupancies = [0, 19, 20].map(ageMs => createOccupancy({open: 1, openElsewhere: 5, ageMs}));
		expect(occupancies.map(occupancy => hasExpectedHeadroom(occupancy))).to.deep.equal([false, false, true]);
	});

	it('always counts the open requests of this process', () => {
		expect(hasExpectedHeadroom(createOccupancy({open: 5, ageMs: 1000}))).to.equal(false);
	});
});

describe('findSlowPaceMs', () => {
	it('exceeds the difference between healthy endpoints, and is unknown until some were measured', () => {
		expect(findSlowPaceMs([undefined, 30, 25, 75])).to.be.within(40, 74);
		expect(findSlowPaceMs([undefined])).to.equal(undefined);
	});
});
