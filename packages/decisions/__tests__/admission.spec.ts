import {expect} from 'chai';
import {Admission, DrainRate, type AdmissionRequest} from '../src/index.js';

const bounds = {
	count: 1000, work: 10_000, callerCount: 100, callerWork: 5000,
};

let ids = 0;

function createRequest(changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
	ids += 1;
	return {
		id: `r${ids}`, class: 'interactive', caller: 'a', share: 1, cost: 1, deadlineAt: 10_000, serviceMs: 10, ...changes,
	};
}

function reserveMany(admission: Admission, count: number, changes: Partial<AdmissionRequest>): void {
	for (let i = 0; i < count; i++) {
		admission.reserve(createRequest(changes), 0, 1);
	}
}

describe('Admission', () => {
	it('admits while the wait fits into the deadline and refuses at once beyond it', () => {
		const admission = new Admission(bounds);
		const decisions = Array.from({length: 100}, (_, i) => admission.reserve(createRequest({caller: `c${i}`, cost: 10, deadlineAt: 500}), 0, 1));
		const admitted = decisions.filter(({kind}) => kind === 'admitted');
		// 10 ms of work each; 80% of 500 ms minus the 10 ms of service.
		expect(admitted).to.have.lengthOf(40);
		expect(decisions.at(-1)).to.deep.include({kind: 'refused', reason: 'deadline-too-near'});
	});

	it('tells a refused caller when to come back', () => {
		const admission = new Admission(bounds);
		reserveMany(admission, 90, {cost: 50, deadlineAt: 1e9});
		const decision = admission.reserve(createRequest({deadlineAt: 1000, caller: 'a'}), 0, 1);
		expect(decision.kind === 'refused' && decision.retryAfterMs).to.be.within(3500, 4500);
	});

	it('does not count one caller\'s backlog against another caller', () => {
		const admission = new Admission(bounds);
		reserveMany(admission, 100, {caller: 'hot', cost: 50, deadlineAt: 1e9});
		expect(admission.reserve(createRequest({caller: 'hot'}), 0, 1)).to.deep.include({reason: 'caller-full'});
		const other = admission.reserve(createRequest({caller: 'cold', cost: 10}), 0, 1);
		expect(other).to.deep.equal({kind: 'admitted', waitMs: 20});
	});

	it('counts only equally or more urgent work as ahead of a request', () => {
		const admission = new Admission(bounds);
		reserveMany(admission, 50, {
			class: 'rollout', caller: 'r', cost: 50, deadlineAt: 1e9,
		});
		expect(admission.estimateWaitMs(createRequest({caller: 'i'}), 1)).to.equal(0);
		reserveMany(admission, 10, {caller: 'j', cost: 5});
		expect(admission.estimateWaitMs(createRequest({class: 'rollout', caller: 's', cost: 100}), 1)).to.equal(50 + 300);
	});

	it('bounds the queue in count and in work', () => {
		const full = new Admission({...bounds, count: 2});
		reserveMany(full, 2, {});
		expect(full.reserve(createRequest({caller: 'b'}), 0, 1)).to.deep.include({reason: 'queue-full'});
		const heavy = new Admission({...bounds, work: 100});
		reserveMany(heavy, 1, {cost: 90});
		expect(heavy.reserve(createRequest({caller: 'b', cost: 20}), 0, 1)).to.deep.include({reason: 'work-full'});
	});

	it('releases a position once, however its request ends', () => {
		const admission = new Admission({...bounds, count: 1});
		const [first, second] = [createRequest(), createRequest()];
		admission.reserve(first, 0, 1);
		admission.start(first.id);
		expect(admission.waiting).to.equal(0);
		admission.reserve(second, 0, 1);
		admission.release(first.id);
		admission.release(first.id);
		expect(admission.waiting).to.equal(1);
		admission.release(second.id);
		expect([admission.waiting, admission.work]).to.deep.equal([0, 0]);
	});

	it('refuses a request whose deadline has passed', () => {
		expect(new Admission(bounds).reserve(createRequest({deadlineAt: 5}), 5, 1)).to.deep.include({reason: 'deadline-too-near'});
	});
});

describe('DrainRate', () => {
	it('follows a loss of capacity within three seconds', () => {
		const rate = new DrainRate(10);
		for (let now = 0; now <= 3000; now += 10) {
			rate.record(50, now, true);
		}

		expect(rate.perMs).to.be.within(4.8, 5.3);
	});

	it('does not mistake an idle period for a slow one', () => {
		const rate = new DrainRate(10);
		for (let now = 0; now <= 3000; now += 100) {
			rate.record(1, now, false);
		}

		expect(rate.perMs).to.equal(10);
	});
});
