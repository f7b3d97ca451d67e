import {expect} from 'chai';
import {CrashEvidence} from '../src/index.js';

describe('CrashEvidence', () => {
	it('takes what broke for in flight at a crash only once the endpoint is seen down, and only if that is soon', () => {
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
