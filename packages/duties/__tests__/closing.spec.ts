import {expect} from 'chai';
import {shouldClose, type ClosingSituation} from '../src/index.js';

function tell(host: string, isFinal = true, isLast = false) {
	return {
		host, incarnation: `${host}-${isFinal ? 1 : 2}`, isFinal, isLast,
	};
}

function decide(changes: Partial<ClosingSituation>): boolean {
	return shouldClose({
		sinceEndMs: 1000, dueMs: 10_000, told: [tell('a'), tell('b')], expected: ['a', 'b'], ...changes,
	});
}

describe('shouldClose', () => {
	it('closes a window once every host that is heard of has told it', () => {
		expect(decide({})).to.equal(true);
	});

	it('waits for a host that goes on counting, and for one that is expected', () => {
		expect(decide({told: [tell('a'), tell('b', false)]})).to.equal(false);
		expect(decide({told: [tell('a')]})).to.equal(false);
		expect(decide({told: [], expected: []})).to.equal(false);
	});

	it('does not wait for a process that has left, and waits for one that has come', () => {
		expect(decide({told: [tell('a'), tell('b', true, true)]})).to.equal(true);
		expect(decide({told: [tell('a'), tell('b'), tell('c', false)]})).to.equal(false);
		expect(decide({told: [tell('a'), tell('b', true, true), tell('b', false)]})).to.equal(false);
	});

	it('does not wait for a killed process once the next start of its host has told the window', () => {
		expect(decide({told: [tell('a'), tell('b', false), tell('b')]})).to.equal(true);
	});

	it('waits for nobody when the report must go out, and never closes a window that lasts', () => {
		expect(decide({told: [], sinceEndMs: 7000})).to.equal(true);
		expect(decide({sinceEndMs: -1})).to.equal(false);
	});
});
