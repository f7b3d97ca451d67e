import {expect} from 'chai';
import {isReadyForWork, type HostState} from '../src/readiness.js';

function decide(changes: Partial<HostState>): boolean {
	return isReadyForWork({
		hasSynced: true, hasCrashRows: true, sinceStartMs: 100, configurationAgeMs: 100, isDraining: false, ...changes,
	});
}

describe('isReadyForWork', () => {
	it('waits for what other hosts know of poison requests, but not for ever', () => {
		expect([decide({}), decide({hasCrashRows: false}), decide({hasCrashRows: false, sinceStartMs: 2001})]).to.deep.equal([true, false, true]);
	});

	it('is false before the configuration is known, once it is old, and while the host drains', () => {
		expect([decide({hasSynced: false, sinceStartMs: 9999}), decide({configurationAgeMs: 3000}), decide({isDraining: true})]).to.deep.equal([false, false, false]);
	});
});
