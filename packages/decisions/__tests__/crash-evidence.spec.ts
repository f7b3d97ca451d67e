import {expect} from 'chai';
import {CrashEvidence} from '../src/index.js';

describe('CrashEvidence', () => {
	it('counts failed requests as in flight at a crash only if the endpoint is found to be down soon after', () => {
		const evidence = new CrashEvidence();
		evidence.noteBroken('e', 'a', 0);
		evidence.noteBroken('e', 'b', 5000);
		evidence.noteBroken('e', 'b', 5100);
		evidence.noteBroken('f', 'c', 5000);
		expect(evidence.takeDown('e', 8000)).to.deep.equal(['b']);
		expect(evidence.takeDown('e', 8000)).to.deep.equal([]);
		expect(evidence.takeDown('f', 60_000)).to.deep.equal([]);
	});
});
