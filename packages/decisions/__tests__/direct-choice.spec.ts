import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {chooseDirect, listFasterEndpoints, type DirectCandidate} from '../src/index.js';

function createCandidate(id: string, changes: Partial<DirectCandidate> = {}): DirectCandidate {
	return {
		id, slots: 8, open: 0, openElsewhere: 0, paceMs: 40, hasCachedPrefix: false, isDedicated: false, isConnected: false, ...changes,
	};
}

/**
 * Replays generations of heavy-tailed lengths that begin together on endpoints of which one is permanently slow.
 *
 * @returns time at which nine tenths have ended, in milliseconds
 */
function replay(seed: number, choose: (candidates: DirectCandidate[]) => string): number {
	const random = new Random(seed);
	const paces = [40, 40, 40, 40, 40, 140];
	const slots = paces.map(() => Array.from({length: 8}, () => 0));
	const counts = paces.map(() => 0);
	const finished: number[] = [];
	for (let i = 0; i < 48; i += 1) {
		const candidates = paces.map((paceMs, number) => createCandidate(String(number), {open: counts[number], paceMs}));
		const chosen = Number(choose(candidates));
		const events = random.next() < 0.08 ? 135 : Math.ceil(random.exponential(20));
		const free = slots[chosen]!.indexOf(Math.min(...slots[chosen]!));
		slots[chosen]![free]! += paces[chosen]! * events;
		counts[chosen]! += 1;
		finished.push(slots[chosen]![free]!);
	}

	return finished.toSorted((a, b) => a - b)[Math.floor(0.9 * finished.length)]!;
}

describe('chooseDirect', () => {
	it('prefers the faster of two idle endpoints, and chooses randomly among equal ones', () => {
		const candidates = [createCandidate('slow', {paceMs: 60}), createCandidate('fast')];
		expect(chooseDirect(candidates, 0)!.id).to.equal('fast');
		const equals = [createCandidate('a'), createCandidate('b')];
		expect([0, 0.9].map(chance => chooseDirect(equals, chance)!.id)).to.deep.equal(['a', 'b']);
	});

	it('fills a fast endpoint before one that is a third slower, and not beyond its slots', () => {
		expect(chooseDirect([createCandidate('slow', {paceMs: 52}), createCandidate('fast', {open: 7})], 0)!.id).to.equal('fast');
		expect(chooseDirect([createCandidate('slow', {paceMs: 52}), createCandidate('fast', {open: 12})], 0)!.id).to.equal('slow');
	});

	it('counts the requests of other processes', () => {
		expect(chooseDirect([createCandidate('a', {openElsewhere: 8}), createCandidate('b', {open: 5})], 0)!.id).to.equal('b');
	});

	it('prefers an open connection among otherwise equal endpoints', () => {
		const candidates = [createCandidate('a'), createCandidate('b', {isConnected: true})];
		expect(chooseDirect(candidates, 0)!.id).to.equal('b');
		expect(chooseDirect([createCandidate('a'), createCandidate('b', {isConnected: true, open: 3})], 0)!.id).to.equal('a');
	});

	it('returns nothing without candidates', () => {
		expect(chooseDirect([], 0)).to.equal(undefined);
	});

	it('ends a step earlier than the choice of the fewest open requests while one endpoint is slow', () => {
		const random = new Random(3);
		const seeds = Array.from({length: 20}, (_, i) => i + 1);
		const byLoad = seeds.map(seed => replay(seed, candidates => candidates.toSorted((a, b) => a.open - b.open)[0]!.id));
		const byTime = seeds.map(seed => replay(seed, candidates => chooseDirect(candidates, random.next())!.id));
		const sum = (times: number[]) => times.reduce((total, time) => total + time, 0);
		expect(sum(byTime)).to.be.lessThan(0.9 * sum(byLoad));
	});
});

describe('listFasterEndpoints', () => {
	const fast = createCandidate('fast');

	it('leaves an endpoint that is much slower than another with free capacity', () => {
		expect(listFasterEndpoints(createCandidate('slow', {paceMs: 130}), [fast], false)).to.have.length(1);
		expect(listFasterEndpoints(createCandidate('slow', {paceMs: 130}), [createCandidate('full', {open: 8})], false)).to.deep.equal([]);
	});

	it('leaves an endpoint that is a third slower only with a long run', () => {
		const slower = createCandidate('slower', {paceMs: 52});
		expect(listFasterEndpoints(slower, [fast], false)).to.deep.equal([]);
		expect(listFasterEndpoints(slower, [fast], true)).to.have.length(1);
	});

	it('stays without measurements', () => {
		expect(listFasterEndpoints(createCandidate('new', {paceMs: undefined}), [fast], true)).to.deep.equal([]);
		expect(listFasterEndpoints(createCandidate('slow', {paceMs: 130}), [createCandidate('new', {paceMs: undefined})], true)).to.deep.equal([]);
	});
});
