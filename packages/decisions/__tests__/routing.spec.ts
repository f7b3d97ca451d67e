import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {
	chooseEndpoint, PrefixIndex, splitPrefix, type Candidate,
} from '../src/index.js';

function createCandidate(id: string, changes: Partial<Candidate> = {}): Candidate {
	return {
		id, load: 0, limit: 8, serviceMs: 100, ...changes,
	};
}

function countChoices(candidates: Candidate[], options = {}): Record<string, number> {
	const random = new Random(1);
	const counts: Record<string, number> = {};
	for (let i = 0; i < 1000; i++) {
		const {id} = (chooseEndpoint(candidates, random, options)!);
		counts[id] = (counts[id] ?? 0) + 1;
	}

	return counts;
}

describe('chooseEndpoint', () => {
	it('sends in proportion to speed when requests are counted as they are sent', () => {
		const candidates = [createCandidate('fast', {serviceMs: 50}), createCandidate('slow', {serviceMs: 100})];
		const random = new Random(1);
		for (let i = 0; i < 12; i++) {
			chooseEndpoint(candidates, random)!.load += 1;
		}

		expect(candidates[0]!.load).to.be.within(7, 9);
	});

	it('does not overload the least loaded of many endpoints', () => {
		const candidates = Array.from({length: 64}, (_, i) => createCandidate(`e${i}`, {load: i === 0 ? 0 : 4}));
		expect(countChoices(candidates).e0).to.be.within(20, 90);
	});

	it('excludes leaving and ejected endpoints immediately', () => {
		const candidates = [createCandidate('a', {isLeaving: true}), createCandidate('b', {isEjected: true}), createCandidate('c', {load: 100})];
		expect(countChoices(candidates)).to.deep.equal({c: 1000});
		expect(chooseEndpoint(candidates.slice(0, 2), new Random(1))).to.equal(undefined);
	});

	it('prefers a cached prefix until the endpoint is loaded beyond its bound', () => {
		const others = ['b', 'c', 'd', 'e', 'f'].map(id => createCandidate(id, {load: 4}));
		expect(countChoices([createCandidate('a', {load: 5, cached: 0.9}), ...others])).to.deep.equal({a: 1000});
		expect(countChoices([createCandidate('a', {load: 8, cached: 0.9}), ...others]).a ?? 0).to.equal(0);
	});

	it('chooses the least loaded of several that cache it', () => {
		const candidates = ['a', 'b', 'c'].map((id, i) => createCandidate(id, {load: 3 - i, cached: 0.5}));
		expect(countChoices([...candidates, createCandidate('d', {load: 1})])).to.deep.equal({c: 1000});
	});

	it('chooses another data centre only when the local endpoints cost more than the distance', () => {
		const far = createCandidate('far', {dataCentre: 'muroran'});
		const options = {dataCentre: 'tomakomai', spilloverMs: 25};
		expect(countChoices([createCandidate('near', {dataCentre: 'tomakomai', load: 1}), far], options)).to.deep.equal({near: 1000});
		expect(countChoices([createCandidate('near', {dataCentre: 'tomakomai', load: 8}), far], options)).to.deep.equal({far: 1000});
	});
});

describe('PrefixIndex', () => {
	const blocks = splitPrefix('x'.repeat(1024));

	it('identifies prefixes by all preceding blocks', () => {
		expect(blocks).to.have.lengthOf(4);
		expect(splitPrefix(`${'x'.repeat(512)}${'y'.repeat(512)}`).slice(0, 2)).to.deep.equal(blocks.slice(0, 2));
		expect(splitPrefix(`y${'x'.repeat(1023)}`)[3]).not.to.equal(blocks[3]);
	});

	it('records sent prefixes, and drops removed ones', () => {
		const index = new PrefixIndex();
		index.recordSent('a', blocks, 0);
		expect(index.match('a', blocks)).to.equal(1);
		index.receive({
			endpoint: 'a', sequence: 1, kind: 'removed', blocks: blocks.slice(2),
		}, 1);
		expect(index.match('a', blocks)).to.equal(0.5);
		expect(index.match('b', blocks)).to.equal(0);
	});

	it('distrusts blocks from before a gap, and trusts those used after it', () => {
		const index = new PrefixIndex();
		index.recordSent('a', blocks, 0);
		index.receive({
			endpoint: 'a', sequence: 1, kind: 'stored', blocks: [],
		}, 1);
		index.receive({
			endpoint: 'a', sequence: 5, kind: 'stored', blocks: [],
		}, 2);
		expect(index.match('a', blocks)).to.equal(0.5);
		index.recordSent('a', blocks, 3);
		expect(index.match('a', blocks)).to.equal(1);
	});

	it('ignores an event that arrives after a later one', () => {
		const index = new PrefixIndex();
		index.receive({
			endpoint: 'a', sequence: 2, kind: 'stored', blocks,
		}, 0);
		index.receive({
			endpoint: 'a', sequence: 1, kind: 'cleared', blocks: [],
		}, 1);
		expect(index.match('a', blocks)).to.equal(1);
	});

	it('is bounded, evicting the least recently used, longest prefix first', () => {
		const index = new PrefixIndex(4);
		index.recordSent('a', blocks, 0);
		index.recordSent('a', ['other'], 1);
		// The longest prefix is evicted first: the remaining ones can still be used.
		expect(index.match('a', blocks)).to.equal(0.75);
		expect(index.match('a', ['other'])).to.equal(1);
		index.recordSent('a', ['p', 'q', 'r', 's'], 2);
		expect(index.match('a', blocks)).to.equal(0);
	});
});
