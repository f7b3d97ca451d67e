import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {
	decideRetry, Hedging, RetryBudget, type FailedAttempt,
} from '../src/index.js';

function createFailure(changes: Partial<FailedAttempt> = {}): FailedAttempt {
	return {
		caller: 'a', ran: 'unknown', isIdempotent: true, isRefusal: false, attempts: 1, refusals: 0, deadlineAt: 10_000, serviceMs: 100, ...changes,
	};
}

function decide(changes: Partial<FailedAttempt>, budget = new RetryBudget()) {
	return decideRetry(createFailure(changes), budget, new Random(1), 0);
}

describe('decideRetry', () => {
	it('retries only requests that are idempotent or proven not to have run', () => {
		expect(decide({isIdempotent: false})).to.deep.equal({kind: 'give-up', reason: 'may-have-run'});
		expect(decide({isIdempotent: false, ran: 'yes'}).kind).to.equal('give-up');
		expect(decide({isIdempotent: false, ran: 'no'}).kind).to.equal('retry');
		expect(decide({}).kind).to.equal('retry');
	});

	it('never exceeds the deadline', () => {
		expect(decide({deadlineAt: 90})).to.deep.equal({kind: 'give-up', reason: 'deadline-too-near'});
	});

	it('stops at the maximum number of attempts', () => {
		expect(decide({attempts: 3})).to.deep.equal({kind: 'give-up', reason: 'attempts-spent'});
		expect(decide({isRefusal: true, ran: 'no', refusals: 4})).to.deep.equal({kind: 'give-up', reason: 'attempts-spent'});
	});

	it('randomizes the delays', () => {
		const random = new Random(1);
		const budget = new RetryBudget();
		const delays = Array.from({length: 3}, () => {
			const decision = decideRetry(createFailure(), budget, random, 0);
			return decision.kind === 'retry' ? decision.delayMs : -1;
		});
		expect(new Set(delays).size).to.equal(3);
		expect(Math.max(...delays)).to.be.below(100);
	});

	it('limits retries to a tenth of a caller\'s first attempts during a full outage', () => {
		const budget = new RetryBudget();
		let retries = 0;
		for (let i = 0; i < 1000; i++) {
			budget.recordFirstTry('hot');
			retries += decide({caller: 'hot'}, budget).kind === 'retry' ? 1 : 0;
		}

		expect(retries).to.be.within(95, 104);
		expect(decide({caller: 'hot'}, budget)).to.deep.equal({kind: 'give-up', reason: 'budget-spent'});
		expect(decide({caller: 'cold'}, budget).kind).to.equal('retry');
	});

	it('reroutes a refused request without using its caller\'s budget', () => {
		const budget = new RetryBudget();
		while (budget.tryTake('a')) {
			// Spends the budget.
		}

		expect(decide({isRefusal: true, ran: 'no', refusals: 1}, budget)).to.deep.equal({kind: 'retry', delayMs: 0});
	});
});

describe('Hedging', () => {
	function createHedging(): Hedging {
		const hedging = new Hedging();
		for (let i = 0; i < 64; i++) {
			hedging.recordTime(i < 62 ? 100 : 1000);
		}

		return hedging;
	}

	const slow = {
		isAllowed: true, startedAt: 0, deadlineAt: 10_000, isHedged: false,
	};

	it('hedges a slow request once there is idle capacity', () => {
		const hedging = createHedging();
		expect(hedging.tryTake(slow, 0.5, 50)).to.equal(false);
		expect(hedging.tryTake(slow, 0.9, 200)).to.equal(false);
		expect(hedging.tryTake(slow, 0.5, 200)).to.equal(true);
	});

	it('never hedges a request that may not run twice, or already runs twice', () => {
		const hedging = createHedging();
		expect(hedging.tryTake({...slow, isAllowed: false}, 0, 200)).to.equal(false);
		expect(hedging.tryTake({...slow, isHedged: true}, 0, 200)).to.equal(false);
	});

	it('hedges a small fraction of requests', () => {
		const hedging = createHedging();
		let hedges = 0;
		for (let i = 0; i < 1000; i++) {
			hedging.recordFirstTry();
			hedges += hedging.tryTake(slow, 0, 200) ? 1 : 0;
		}

		expect(hedges).to.be.within(50, 61);
	});
});
