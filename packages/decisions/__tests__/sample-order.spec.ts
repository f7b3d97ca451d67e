import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {planBatchOrder, type OrderedSample} from '../src/index.js';

function createSample(id: string, group: string, expectedTokens: number, isCarried = false): OrderedSample {
	return {
		id, group, expectedTokens, isCarried,
	};
}

/** Runs samples in an order on slots; returns the time at which the wanted number of groups is complete, in events. */
function replay(samples: readonly OrderedSample[], order: readonly string[], wanted: number, slots: number): number {
	const lengths = new Map(samples.map(({id, expectedTokens}) => [id, expectedTokens]));
	const groups = new Map(samples.map(({id, group}) => [id, group]));
	const free = Array.from({length: slots}, () => 0);
	const ends = new Map<string, number>();
	for (const id of order) {
		const slot = free.indexOf(Math.min(...free));
		free[slot]! += lengths.get(id)!;
		const group = groups.get(id)!;
		ends.set(group, Math.max(ends.get(group) ?? 0, free[slot]!));
	}

	return [...ends.values()].toSorted((a, b) => a - b)[wanted - 1]!;
}

describe('planBatchOrder', () => {
	it('starts carried-over groups first, then long ones, and last those that are not waited for', () => {
		const samples = [
			createSample('a', 'short', 10), createSample('b', 'long', 90), createSample('c', 'middle', 50), createSample('d', 'carried', 20, true),
		];
		expect(planBatchOrder(samples, 3)).to.deep.equal(['d', 'c', 'a', 'b']);
		expect(planBatchOrder(samples, 4)).to.deep.equal(['d', 'b', 'c', 'a']);
	});

	it('keeps every sample once', () => {
		const samples = Array.from({length: 30}, (_, i) => createSample(`s${i}`, `g${i % 7}`, i % 5));
		expect(planBatchOrder(samples, 5).toSorted()).to.deep.equal(samples.map(({id}) => id).toSorted());
	});

	it('completes the wanted groups earlier than the order of submission, with few slots', () => {
		let gain = 0;
		for (let seed = 1; seed <= 20; seed += 1) {
			const random = new Random(seed);
			const samples = Array.from({length: 80}, (_, i) => createSample(`s${i}`, `g${Math.floor(i / 4)}`, random.next() < 0.08 ? 135 : 5 + random.exponential(15)));
			gain += replay(samples, samples.map(({id}) => id), 18, 24) - replay(samples, planBatchOrder(samples, 18), 18, 24);
		}

		expect(gain / 20).to.be.greaterThan(0);
	});
});
