import {expect} from 'chai';
import {
	describeExpiry, describeFailure, mergeRan, toOutcome, type AttemptFailure,
} from '../src/dispatcher-outcome.js';

function createFailure(changes: Partial<AttemptFailure> = {}): AttemptFailure {
	return {
		kind: 'failed', ran: 'no', reason: 'gone', hasCrashed: false, ...changes,
	};
}

describe('outcomes of attempts', () => {
	it('combine to the least favourable value for the call', () => {
		expect(mergeRan('no', 'no')).to.equal('no');
		expect(mergeRan('unknown', 'no')).to.equal('unknown');
		expect(mergeRan('no', 'unknown')).to.equal('unknown');
		expect(mergeRan('yes', 'unknown')).to.equal('yes');
	});

	it('count as not run if the agent refused, and keep its reason', () => {
		const outcome = toOutcome({
			kind: 'refused', request: 'r', attempt: 1, reason: 'overloaded', retryAfterMs: 700,
		});
		expect(outcome).to.include({
			kind: 'failed', ran: 'no', refusal: 'overloaded', retryAfterMs: 700,
		});
	});

	it('are reported as the refusal only if no attempt may have run', () => {
		const failure = createFailure({refusal: 'overloaded', retryAfterMs: 700});
		expect(describeFailure({failure, ran: 'no', isIdempotent: false})).to.include({status: 429, ran: 'no', retryAfterMs: 700});
		expect(describeFailure({failure, ran: 'unknown', isIdempotent: true})).to.include({status: 502, ran: 'unknown', retryAfterMs: 700});
	});

	it('never ask a caller to retry a call that could run twice', () => {
		for (const ran of ['unknown', 'yes'] as const) {
			expect(describeFailure({failure: createFailure({ran}), ran, isIdempotent: false})).to.not.have.property('retryAfterMs');
			expect(describeExpiry(ran, false)).to.not.have.property('retryAfterMs');
		}

		expect(describeExpiry('no', false).retryAfterMs).to.be.greaterThan(0);
		expect(describeExpiry('unknown', true).retryAfterMs).to.be.greaterThan(0);
	});
});
