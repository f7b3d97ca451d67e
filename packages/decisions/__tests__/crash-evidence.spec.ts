import {expect} from 'chai';
import {CrashEvidence} from '../src/index.js';

describe('CrashEvidence', () => {
	it('counts failed requests as in flight at a crash only if the endpoint is found to be down soon after', () => {
		const evidence = new CrashEvidence();
		evidence.recordBroken({endpoint: 'e', startedAt: 0}, 'a', 0);
		evidence.recordBroken({endpoint: 'e', startedAt: 0}, 'b', 5000);
		evidence.recordBroken({endpoint: 'e', startedAt: 0}, 'b', 5100);
		evidence.recordBroken({endpoint: 'f', startedAt: 0}, 'c', 5000);
		expect(evidence.takeCrashed({endpoint: 'e'}, 8000)).to.deep.equal(new Map([[undefined, ['b']]]));
		expect(evidence.takeCrashed({endpoint: 'e'}, 8000)).to.deep.equal(new Map());
		expect(evidence.takeCrashed({endpoint: 'f'}, 60_000)).to.deep.equal(new Map());
	});
});
