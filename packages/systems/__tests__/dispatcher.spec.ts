import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Problem} from '@wasabiusher/shared';
import {
	createCall, createFixture, createParts, createStatus, findLatest, sendFailed, sendPart, sendRefused, submit,
} from './dispatcher-fixtures.js';

describe('Dispatcher', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('ends an answered call once, whatever messages follow', async () => {
		const fixture = createFixture(['a1']);
		const {events, problems, run} = submit(fixture, createCall('c1'));
		await clock.tickAsync(0);
		sendPart(fixture, 0, createParts('x'));
		sendPart(fixture, 1, {kind: 'finished', reason: 'stop'});
		run.cancel();
		sendFailed(fixture, 'unknown');
		await clock.tickAsync(20_000);
		expect(events).to.deep.equal(['x', 'finished']);
		expect(problems).to.deep.equal([]);
		expect(fixture.records.map(({outcome}) => outcome)).to.deep.equal(['answered']);
		expect(fixture.dispatcher.openCalls).to.equal(0);
		expect(fixture.list('cancel')).to.deep.equal([]);
	});

	it('never sends a call to an endpoint that runs another attempt at the same work', async () => {
		const fixture = createFixture(['a1', 'a2']);
		for (const id of ['c1', 'c2', 'c3']) {
			submit(fixture, {...createCall(id), avoid: ['a1']});
		}

		await clock.tickAsync(0);
		expect(fixture.list('open').map(({agent}) => agent)).to.deep.equal(['a2', 'a2', 'a2']);
	});

	describe('reports whether a failed call may have run', () => {
		it('no, if no endpoint could take it', async () => {
			const fixture = createFixture([]);
			const {problems} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			expect(problems.map(({kind, ran}) => [kind, ran])).to.deep.equal([['unavailable', 'no']]);
			expect(problems[0]!.retryAfterMs).to.be.greaterThan(0);
		});

		it('no, if all endpoints refused or could not be reached', async () => {
			const fixture = createFixture(['a1', 'a2']);
			fixture.down.add('a1');
			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(1000);
			expect(findLatest(fixture).agent).to.equal('a2');
			sendRefused(fixture, 'overloaded');
			await clock.tickAsync(1000);
			expect(problems.map(({ran}) => ran)).to.deep.equal(['no']);
		});

		it('unknown, if an earlier attempt may have run although the last one did not', async () => {
			const fixture = createFixture(['a1', 'a2']);
			const {problems} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			sendRefused(fixture, 'overloaded');
			await clock.tickAsync(1000);
			expect(fixture.list('open')).to.have.lengthOf(2);
			expect(problems.map(({kind, ran}) => [kind, ran])).to.deep.equal([['endpoint-failed', 'unknown']]);
		});

		it('unknown, immediately, if the deadline passes after it was sent', async () => {
			const fixture = createFixture(['a1']);
			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(9999);
			expect(problems).to.deep.equal([]);
			await clock.tickAsync(1);
			expect(problems.map(({kind, ran, retryAfterMs}) => [kind, ran, retryAfterMs])).to.deep.equal([['deadline-exceeded', 'unknown', undefined]]);
		});

		it('no, if the deadline passes while it is queued', async () => {
			const fixture = createFixture(['a1']);
			for (let i = 0; i < 4; i += 1) {
				submit(fixture, {...createCall(`busy${i}`), deadlineAt: 60_000});
			}

			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(10_000);
			expect(fixture.list('open')).to.have.lengthOf(4);
			expect(problems.map(({kind, ran}) => [kind, ran])).to.deep.equal([['deadline-exceeded', 'no']]);
		});

		it('yes, if a part of the answer was received', async () => {
			const fixture = createFixture(['a1']);
			const {problems} = submit(fixture, createCall('c1'), false);
			await clock.tickAsync(0);
			sendPart(fixture, 0, createParts('x'));
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			expect(problems.map(({ran}) => ran)).to.deep.equal(['yes']);
		});
	});

	describe('retries', () => {
		it('no non-idempotent call that may have run', async () => {
			const fixture = createFixture(['a1', 'a2']);
			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(0);
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(10_000);
			expect(fixture.list('open')).to.have.lengthOf(1);
			expect(problems.map(({ran}) => ran)).to.deep.equal(['unknown']);
		});

		it('a refused call at another endpoint', async () => {
			const fixture = createFixture(['a1', 'a2']);
			submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(0);
			const first = findLatest(fixture);
			sendRefused(fixture, 'overloaded');
			await clock.tickAsync(1000);
			expect(fixture.list('open').map(({agent}) => agent)).to.have.members(['a1', 'a2']);
			expect(findLatest(fixture).attempt).to.equal(first.attempt + 1);
		});

		it('a call whose answer broke off only if the caller has received none of it', async () => {
			const fixture = createFixture(['a1', 'a2']);
			const restartable = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			sendPart(fixture, 0, createParts('old'));
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			sendPart(fixture, 0, createParts('new'));
			sendPart(fixture, 1, {kind: 'finished', reason: 'stop'});
			expect(restartable.events).to.deep.equal(['new', 'finished']);
			const stream = submit(fixture, createCall('c2'), false);
			await clock.tickAsync(0);
			sendPart(fixture, 0, createParts('old'));
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			expect(stream.events).to.deep.equal(['old']);
			expect(stream.problems).to.have.lengthOf(1);
		});

		it('without mixing parts of an earlier attempt or another agent into the answer', async () => {
			const fixture = createFixture(['a1', 'a2']);
			const {events} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			const first = findLatest(fixture);
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			const second = findLatest(fixture);
			sendPart(fixture, 0, createParts('late'), first);
			sendPart(fixture, 0, createParts('forged'), {...second, agent: first.agent});
			sendPart(fixture, 0, createParts('true'), second);
			expect(events).to.deep.equal(['true']);
		});

		it('stops using a leaving endpoint after its first refusal', async () => {
			const fixture = createFixture(['a1', 'a2']);
			submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			const {agent: leavingAgent} = findLatest(fixture);
			sendRefused(fixture, 'leaving');
			await clock.tickAsync(1000);
			for (let i = 0; i < 3; i += 1) {
				submit(fixture, createCall(`later${i}`));
			}

			await clock.tickAsync(0);
			expect(fixture.list('open').slice(1).map(({agent}) => agent)).to.not.include(leavingAgent);
			expect(fixture.list('open')).to.have.lengthOf(5);
		});
	});

	describe('when a link is replaced', () => {
		it('resumes from the next part', async () => {
			const fixture = createFixture(['a1']);
			const {events} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			sendPart(fixture, 0, createParts('x'));
			fixture.dispatcher.detach('a1');
			await clock.tickAsync(4000);
			fixture.dispatcher.attach('a1', 'tomakomai');
			expect(fixture.list('resume').map(({message}) => message.next)).to.deep.equal([1]);
			sendPart(fixture, 1, {kind: 'finished', reason: 'stop'});
			expect(events).to.deep.equal(['x', 'finished']);
		});

		it('restarts the resume timeout at each loss of the link', async () => {
			const fixture = createFixture(['a1']);
			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(0);
			fixture.dispatcher.detach('a1');
			await clock.tickAsync(4000);
			fixture.dispatcher.attach('a1', 'tomakomai');
			fixture.dispatcher.detach('a1');
			await clock.tickAsync(4000);
			expect(problems).to.deep.equal([]);
			await clock.tickAsync(1000);
			expect(problems.map(({ran}) => ran)).to.deep.equal(['unknown']);
		});

		it('fails an attempt that the restarted agent does not know as unknown', async () => {
			const fixture = createFixture(['a1', 'a2']);
			const {problems} = submit(fixture, createCall('c1', {idempotent: false}));
			await clock.tickAsync(0);
			const {agent} = findLatest(fixture);
			fixture.dispatcher.detach(agent);
			fixture.dispatcher.attach(agent, 'tomakomai');
			sendFailed(fixture, 'unknown');
			await clock.tickAsync(1000);
			expect(fixture.list('open')).to.have.lengthOf(1);
			expect(problems.map(({ran}) => ran)).to.deep.equal(['unknown']);
		});

		it('requests the parts in a gap once and delivers none out of order', async () => {
			const fixture = createFixture(['a1']);
			const {events} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			sendPart(fixture, 1, createParts('b'));
			sendPart(fixture, 2, createParts('c'));
			expect(events).to.deep.equal([]);
			expect(fixture.list('resume').map(({message}) => message.next)).to.deep.equal([0]);
			for (const [sequence, text] of ['a', 'b', 'c'].entries()) {
				sendPart(fixture, sequence, createParts(text));
			}

			expect(events).to.deep.equal(['a', 'b', 'c']);
		});
	});

	describe('when the caller has disconnected', () => {
		it('stops the work and counts it as draining until the stop is confirmed', async () => {
			const fixture = createFixture(['a1']);
			const {run, problems} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			run.cancel();
			const {agent, request, attempt} = findLatest(fixture);
			expect(fixture.list('cancel')).to.have.lengthOf(1);
			expect(fixture.dispatcher.endpoints.get('a1')).to.include({open: 0, draining: 1});
			await clock.tickAsync(60_000);
			expect(fixture.dispatcher.drainingAttempts).to.equal(1);
			fixture.dispatcher.receive(agent, {kind: 'stopped', request, attempt});
			expect(fixture.dispatcher.drainingAttempts).to.equal(0);
			expect(problems).to.deep.equal([]);
			expect(fixture.records.map(({outcome}) => outcome)).to.deep.equal(['cancelled']);
		});

		it('keeps its slot from other calls while it drains', async () => {
			const fixture = createFixture(['a1']);
			fixture.dispatcher.receive('a1', {kind: 'status', status: createStatus({limit: 2})});
			const {run} = submit(fixture, createCall('c1'));
			submit(fixture, createCall('c2'));
			submit(fixture, createCall('c3'));
			await clock.tickAsync(0);
			run.cancel();
			await clock.tickAsync(0);
			expect(fixture.list('open').map(({message}) => message.request)).to.deep.equal(['c1', 'c2']);
			fixture.dispatcher.receive('a1', {kind: 'stopped', request: 'c1', attempt: 1});
			await clock.tickAsync(0);
			expect(fixture.list('open').map(({message}) => message.request)).to.deep.equal(['c1', 'c2', 'c3']);
		});

		it('repeats the cancellation on a replaced link', async () => {
			const fixture = createFixture(['a1']);
			const {run} = submit(fixture, createCall('c1'));
			await clock.tickAsync(0);
			fixture.dispatcher.detach('a1');
			run.cancel();
			fixture.sent.length = 0;
			fixture.dispatcher.attach('a1', 'tomakomai');
			expect(fixture.sent.map(({message}) => message.kind)).to.deep.equal(['cancel', 'resume']);
		});

		it('removes a waiting call from the queue', async () => {
			const fixture = createFixture(['a1']);
			const runs = Array.from({length: 6}, (_, i) => submit(fixture, createCall(`c${i}`)).run);
			await clock.tickAsync(0);
			runs[5]!.cancel();
			runs[0]!.cancel();
			fixture.dispatcher.receive('a1', {kind: 'stopped', request: 'c0', attempt: 1});
			await clock.tickAsync(0);
			expect(fixture.list('open').map(({message}) => message.request)).to.deep.equal(['c0', 'c1', 'c2', 'c3', 'c4']);
		});
	});

	it('withholds acknowledgements while the caller reads too slowly', async () => {
		const fixture = createFixture(['a1']);
		const {run} = submit(fixture, createCall('c1'));
		await clock.tickAsync(0);
		run.pause?.();
		for (let sequence = 0; sequence < 40; sequence += 1) {
			sendPart(fixture, sequence, createParts('x'));
		}

		expect(fixture.list('acknowledge')).to.deep.equal([]);
		run.resume?.();
		expect(fixture.list('acknowledge').map(({message}) => message.next)).to.deep.equal([40]);
	});

	it('fails a call once if its listener cannot pass on the answer', async () => {
		const fixture = createFixture(['a1']);
		const problems: Problem[] = [];
		fixture.dispatcher.submit(createCall('c1'), {
			onEvent() {
				throw new TypeError('invalid character in header');
			},
			onRestart: () => false,
			onFailed(problem) {
				problems.push(problem);
			},
		});
		await clock.tickAsync(0);
		sendPart(fixture, 0, {kind: 'head', status: 200, headers: {}});
		expect(problems.map(({ran}) => ran)).to.deep.equal(['yes']);
		expect(fixture.list('cancel')).to.have.lengthOf(1);
	});
});
