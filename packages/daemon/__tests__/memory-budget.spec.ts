import {expect} from 'chai';
import fc from 'fast-check';
import {MemoryBudget, type Hold} from '../src/index.js';

const limits = {totalBytes: 1000, reservedBytes: 100, smallBytes: 50};

function createBudget(collect?: () => void) {
	const budget = new MemoryBudget(limits, collect);
	const evicted: string[] = [];
	return {
		budget,
		evicted,
		open: (name: string, now = 0): Hold => budget.open(now, () => {
			evicted.push(name);
		}),
	};
}

describe('MemoryBudget', () => {
	it('admits one body up to the part that is not reserved', () => {
		const {budget, open} = createBudget();
		expect(budget.charge(open('a'), 900, 0)).to.equal(true);
		expect(budget.charge(open('b'), 901, 0)).to.equal(false);
	});

	it('evicts the incomplete body that has occupied most for longest, not the newcomer', () => {
		const {budget, evicted, open} = createBudget();
		budget.charge(open('short', 90), 500, 90);
		budget.charge(open('long', 0), 400, 90);
		expect(budget.charge(open('new', 100), 300, 100)).to.equal(true);
		expect(evicted).to.deep.equal(['long']);
	});

	it('never evicts a complete body', () => {
		const {budget, evicted, open} = createBudget();
		const complete = open('complete');
		budget.charge(complete, 800, 0);
		complete.isComplete = true;
		expect(budget.charge(open('new', 5), 300, 10)).to.equal(false);
		expect(evicted).to.deep.equal([]);
	});

	it('keeps the reserved part for small bodies', () => {
		const {budget, open} = createBudget();
		const complete = open('complete');
		budget.charge(complete, 900, 0);
		complete.isComplete = true;
		expect(budget.charge(open('small'), 50, 0)).to.equal(true);
		expect(budget.charge(open('large'), 51, 0)).to.equal(false);
	});

	it('refuses a body that itself occupies most for longest', () => {
		const {budget, evicted, open} = createBudget();
		const old = open('old', 0);
		budget.charge(old, 600, 0);
		budget.charge(open('other', 90), 200, 90);
		expect(budget.charge(old, 200, 100)).to.equal(false);
		expect([old.bytes, evicted]).to.deep.equal([600, []]);
	});

	it('counts released memory until it is collected, and evicts nobody for it', () => {
		let collections = 0;
		const {budget, evicted, open} = createBudget(() => {
			collections += 1;
		});
		const first = open('first');
		budget.charge(first, 600, 0);
		budget.release(first);
		const second = open('second');
		expect([budget.charge(second, 300, 0), collections]).to.deep.equal([true, 0]);
		expect([budget.charge(second, 300, 0), collections, evicted]).to.deep.equal([true, 1, []]);
	});

	it('rejects limits that leave nothing for large bodies', () => {
		expect(() => new MemoryBudget({totalBytes: 10, reservedBytes: 10, smallBytes: 1})).to.throw(RangeError);
	});

	it('is never exceeded, and empty after all bodies have ended, in any order of events', () => {
		const step = fc.record({
			kind: fc.constantFrom('charge' as const, 'charge' as const, 'charge' as const, 'complete' as const, 'release' as const, 'discharge' as const), index: fc.nat(9), bytes: fc.nat(400),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 200}), steps => {
			const budget = new MemoryBudget(limits, () => undefined);
			const evictions = new Map<number, number>();
			const holds = Array.from({length: 10}, (_, i) => budget.open(i, () => {
				evictions.set(i, (evictions.get(i) ?? 0) + 1);
			}));
			for (const [now, {kind, index, bytes}] of steps.entries()) {
				const hold = holds[index]!;
				const events = {
					charge: () => budget.charge(hold, bytes, now),
					complete() {
						hold.isComplete = true;
					},
					release() {
						budget.release(hold);
					},
					discharge() {
						budget.discharge(hold, Math.min(bytes, hold.bytes));
					},
				};
				events[kind]();
				expect(budget.heldBytes).to.equal(holds.reduce((sum, other) => sum + other.bytes, 0)).and.to.be.at.most(limits.totalBytes);
			}

			for (const hold of holds) {
				budget.release(hold);
			}

			expect([budget.heldBytes, budget.size]).to.deep.equal([0, 0]);
			expect([...evictions.values()].every(count => count === 1)).to.equal(true);
		}));
	});
});
