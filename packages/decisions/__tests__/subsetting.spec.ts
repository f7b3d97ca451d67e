import {expect} from 'chai';
import {assignSubsets, findSubset} from '../src/index.js';

function createNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, i) => `${prefix}${i}`);
}

function countByEndpoint(subsets: Map<string, string[]>, endpoints: string[]): number[] {
	const counts = new Map(endpoints.map(endpoint => [endpoint, 0]));
	for (const endpoint of [...subsets.values()].flat()) {
		counts.set(endpoint, counts.get(endpoint)! + 1);
	}

	return [...counts.values()];
}

/** Returns the pairs of the first assignment that are missing in the second. */
function countMoved(before: Map<string, string[]>, after: Map<string, string[]>): number {
	let moved = 0;
	for (const [entry, subset] of before) {
		const kept = new Set(after.get(entry) ?? subset);
		moved += subset.filter(endpoint => !kept.has(endpoint)).length;
	}

	return moved;
}

describe('assignSubsets', () => {
	// A data centre of the design size: 1,700 entries and 10,000 endpoints in 19 data centres.
	const entries = createNames('entry', 90);
	const endpoints = createNames('endpoint', 526);
	const subsets = assignSubsets(entries, endpoints);

	it('bounds both sides and spreads evenly', () => {
		const counts = countByEndpoint(subsets, endpoints);
		const mean = 90 * 64 / 526;
		expect([...subsets.values()].every(({length}) => length === 64)).to.equal(true);
		expect(Math.max(...counts)).to.be.at.most(Math.ceil(1.25 * mean));
		expect(Math.min(...counts)).to.be.at.least(Math.floor(mean / 1.25));
	});

	it('reassigns few pairs when an endpoint leaves or an entry joins', () => {
		const withoutOne = assignSubsets(entries, endpoints.slice(1));
		const own = countByEndpoint(subsets, endpoints)[0]!;
		expect(countMoved(subsets, withoutOne)).to.be.at.most(3 * own);
		const withOneMore = assignSubsets([...entries, 'new'], endpoints);
		expect(countMoved(subsets, withOneMore)).to.be.at.most(2 * 64);
	});

	it('has no size at which one more host reassigns everything', () => {
		const few = createNames('entry', 20);
		let last = assignSubsets(few, createNames('endpoint', 150), {degree: 16});
		for (let size = 151; size <= 250; size++) {
			const next = assignSubsets(few, createNames('endpoint', size), {degree: 16});
			expect(countMoved(last, next)).to.be.at.most(20);
			last = next;
		}
	});

	it('does not depend on the order of the names', () => {
		expect(findSubset('entry7', entries.toReversed(), endpoints.toReversed())).to.deep.equal(subsets.get('entry7'));
	});

	it('gives each entry all endpoints of a small pool', () => {
		const small = assignSubsets(createNames('entry', 3), createNames('endpoint', 6));
		expect([...small.values()].map(({length}) => length)).to.deep.equal([6, 6, 6]);
	});
});
