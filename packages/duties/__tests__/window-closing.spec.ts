import {expect} from 'chai';
import {shouldClose, type WindowState} from '../src/index.js';

function createUsage(host: string, isFinal = true, isLast = false) {
	return {
		host, incarnation: `${host}-${isFinal ? 1 : 2}`, isFinal, isLast,
	};
}

function decide(changes: Partial<WindowState>): boolean {
	return shouldClose({
		sinceEndMs: 1000, dueMs: 10_000, recorded: [createUsage('a'), createUsage('b')], expectedHosts: ['a', 'b'], ...changes,
	});
}

describe('shouldClose', () => {
	it('closes a window once all known hosts have written final counts', () => {
		expect(decide({})).to.equal(true);
	});

	it('waits for a host whose counts are not final, and for an expected host without counts', () => {
		expect(decide({recorded: [createUsage('a'), createUsage('b', false)]})).to.equal(false);
		expect(decide({recorded: [createUsage('a')]})).to.equal(false);
		expect(decide({recorded: [], expectedHosts: []})).to.equal(false);
	});

	it('does not wait for a process that has left, and waits for one that has started', () => {
		expect(decide({recorded: [createUsage('a'), createUsage('b', true, true)]})).to.equal(true);
		expect(decide({recorded: [createUsage('a'), createUsage('b'), createUsage('c', false)]})).to.equal(false);
		expect(decide({recorded: [createUsage('a'), createUsage('b', true, true), createUsage('b', false)]})).to.equal(false);
	});

	it('does not wait for a killed process once the next start of its host has written final counts', () => {
		expect(decide({recorded: [createUsage('a'), createUsage('b', false), createUsage('b')]})).to.equal(true);
	});

	it('waits for no host when the report is almost due, and never closes a window before its end', () => {
		expect(decide({recorded: [], sinceEndMs: 7000})).to.equal(true);
		expect(decide({sinceEndMs: -1})).to.equal(false);
	});
});
