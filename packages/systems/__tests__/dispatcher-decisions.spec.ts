import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	createCall, createFixture, createParts, createStatus, findLatest, sendFailed, sendPart, sendRefused, submit, type Fixture,
} from './dispatcher-fixtures.js';

type Latest = ReturnType<typeof findLatest>;

/** Returns all attempts that were opened, oldest first. */
function listOpened(fixture: Fixture): Latest[] {
	return fixture.list('open').map(({agent, message: {request, attempt}}) => ({agent, request, attempt}));
}

function finish(fixture: Fixture, from: Latest): void {
	sendPart(fixture, 0, createParts('x'), from);
	sendPart(fixture, 1, {kind: 'finished', reason: 'stop'}, from);
}

describe('Dispatcher and the decisions', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Runs calls one after another, each with this run time in milliseconds. */
	async function serve(fixture: Fixture, count: number, runMs: number, profile: Record<string, unknown> = {}): Promise<void> {
		for (let i = 0; i < count; i += 1) {
			submit(fixture, createCall(`served${clock.now}-${i}`, profile));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(runMs);
			finish(fixture, findLatest(fixture));
		}
	}

	it('refuses a call that would be queued beyond its deadline at once, with the time after which to retry', async () => {
		const fixture = createFixture(['a1']);
		await serve(fixture, 3, 2000);
		for (let i = 0; i < 20; i += 1) {
			submit(fixture, {...createCall(`waiting${i}`), deadlineAt: 1_000_000});
		}

		const {problems} = submit(fixture, createCall('late'));
		expect(problems.map(({kind, ran}) => [kind, ran])).to.deep.equal([['overloaded', 'no']]);
		expect(problems[0]!.retryAfterMs).to.be.greaterThan(0);
	});

	it('frees the queue position of a call however it ends', async () => {
		const fixture = createFixture(['a1']);
		await serve(fixture, 3, 2000);
		const waiting = Array.from({length: 20}, (_, i) => submit(fixture, {...createCall(`waiting${i}`), deadlineAt: 1_000_000}));
		for (const {run} of waiting) {
			run.cancel();
		}

		const {problems} = submit(fixture, createCall('next'));
		await clock.tickAsync(0);
		expect(problems).to.deep.equal([]);
	});

	it('does not queue an urgent call behind less urgent ones', async () => {
		const fixture = createFixture(['a1']);
		for (let i = 0; i < 10; i += 1) {
			submit(fixture, createCall(`rollout${i}`, {class: 'rollout'}));
		}

		submit(fixture, createCall('urgent'));
		await clock.tickAsync(0);
		expect(findLatest(fixture).request).to.equal('urgent');
		expect(fixture.list('open')).to.have.lengthOf(5);
	});

	it('keeps retries within the caller\'s budget while all endpoints fail', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3', 'a4']);
		for (let i = 0; i < 100; i += 1) {
			const before = fixture.list('open').length;
			submit(fixture, createCall(`c${i}`));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(0);
			for (let index = before; index < fixture.list('open').length; index += 1) {
				sendFailed(fixture, 'no', listOpened(fixture)[index]);
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(500);
			}
		}

		expect(fixture.records).to.have.lengthOf(100);
		expect(fixture.list('open').length).to.be.at.most(120);
	});

	it('sends prompts with a common prefix to the endpoint that has it cached', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3', 'a4']);
		const prefix = 'a trail report of the Hohe Tauern '.repeat(40);
		for (let i = 0; i < 12; i += 1) {
			submit(fixture, {...createCall(`c${i}`), prefix});
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(10);
			finish(fixture, findLatest(fixture));
		}

		expect(new Set(listOpened(fixture).map(({agent}) => agent)).size).to.equal(1);
	});

	it('spreads a first burst over other data centres before any measurement', async () => {
		const fixture = createFixture(['near'], 'muroran');
		for (const agent of ['far1', 'far2']) {
			fixture.dispatcher.attach(agent, 'ishikari');
			fixture.dispatcher.receive(agent, {kind: 'status', status: createStatus()});
		}

		for (let i = 0; i < 12; i += 1) {
			submit(fixture, createCall(`c${i}`));
		}

		await clock.tickAsync(0);
		const agents = listOpened(fixture).map(({agent}) => agent);
		expect(agents[0]).to.equal('near');
		expect(agents.filter(agent => agent === 'near').length).to.be.within(4, 8);
		expect(new Set(agents).size).to.equal(3);
	});

	it('ejects a failing endpoint, and restores it after successful probes', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3']);
		await serve(fixture, 6, 100);
		let failures = 0;
		for (let i = 0; i < 60; i += 1) {
			submit(fixture, createCall(`c${i}`, {idempotent: false}));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
			if (findLatest(fixture).agent === 'a1') {
				failures += 1;
				sendFailed(fixture, 'unknown');
			} else {
				finish(fixture, findLatest(fixture));
			}
		}

		expect(failures).to.be.within(1, 15);
		for (let i = 0; i < 8; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(600);
			fixture.dispatcher.receive('a1', {kind: 'status', status: createStatus()});
			const latest = findLatest(fixture);
			if (latest.request.startsWith('probe-')) {
				expect(latest.agent).to.equal('a1');
				finish(fixture, latest);
			}
		}

		const before = fixture.list('open').length;
		for (let i = 0; i < 20; i += 1) {
			submit(fixture, createCall(`after${i}`));
		}

		await clock.tickAsync(0);
		expect(listOpened(fixture).slice(before).map(({agent}) => agent)).to.include('a1');
	});

	it('uses an ejected endpoint if no other has loaded the model', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3']);
		fixture.dispatcher.receive('a1', {kind: 'status', status: createStatus({models: [{model: 'hazard', version: 1}]})});
		for (let i = 0; i < 6; i += 1) {
			submit(fixture, {...createCall(`c${i}`, {idempotent: false}), model: 'hazard'});
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
			sendFailed(fixture, 'unknown');
		}

		expect(listOpened(fixture).map(({agent}) => agent)).to.deep.equal(Array.from({length: 6}, () => 'a1'));
	});

	it('hedges a slow call at another endpoint, and stops the slower attempt', async () => {
		const fixture = createFixture(['a1', 'a2']);
		const profile = {hedge: true};
		await serve(fixture, 40, 50, profile);
		const {events} = submit(fixture, createCall('slow', profile));
		await clock.tickAsync(40);
		const first = findLatest(fixture);
		await clock.tickAsync(40);
		const second = findLatest(fixture);
		expect(second).to.include({request: 'slow', attempt: 2});
		expect(second.agent).to.not.equal(first.agent);
		finish(fixture, second);
		sendPart(fixture, 0, createParts('late'), first);
		expect(events).to.deep.equal(['x', 'finished']);
		expect(fixture.list('cancel').map(({agent}) => agent)).to.deep.equal([first.agent]);
	});

	it('retries a call that was in flight at a crash in isolation, and only once', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3']);
		const {problems} = submit(fixture, createCall('c1'));
		await clock.tickAsync(0);
		expect(fixture.list('open')[0]!.message.isSuspect).to.equal(false);
		sendFailed(fixture, 'unknown');
		await clock.tickAsync(1000);
		expect(fixture.list('open')[1]!.message.isSuspect).to.equal(true);
		sendFailed(fixture, 'unknown');
		await clock.tickAsync(1000);
		expect(fixture.list('open')).to.have.lengthOf(2);
		expect(problems.map(({kind, status, ran}) => [kind, status, ran])).to.deep.equal([['quarantined', 422, 'unknown']]);
	});

	it('announces a suspect to other agents once, and refuses it during its quarantine', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3']);
		const suspicion = {
			fingerprint: 'f1', crashes: ['a1@s1', 'a2@s1'], cleared: [], remainingMs: 600_000, terms: 1,
		};
		fixture.dispatcher.receive('a1', {kind: 'suspicions', suspicions: [suspicion]});
		fixture.dispatcher.receive('a2', {kind: 'suspicions', suspicions: [suspicion]});
		expect(fixture.broadcasts.map(({except}) => except)).to.deep.equal(['a1']);
		const {problems} = submit(fixture, createCall('c1'));
		await clock.tickAsync(0);
		expect(problems.map(({kind, ran, retryAfterMs}) => [kind, ran, retryAfterMs])).to.deep.equal([['quarantined', 'no', 600_000]]);
		expect(fixture.dispatcher.describeQuarantine().map(({fingerprint}) => fingerprint)).to.deep.equal(['f1']);
		fixture.dispatcher.attach('a4', 'tomakomai');
		expect(fixture.sent.at(-1)).to.deep.include({agent: 'a4', message: {kind: 'suspicions', suspicions: [suspicion]}});
	});

	it('clears a suspect that finishes in isolation', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3']);
		fixture.dispatcher.receive('a1', {
			kind: 'suspicions',
			suspicions: [{
				fingerprint: 'f1', crashes: ['a1@s1'], cleared: [], remainingMs: 60_000, terms: 0,
			}],
		});
		submit(fixture, createCall('c1'));
		await clock.tickAsync(0);
		expect(findLatest(fixture).agent).to.not.equal('a1');
		expect(fixture.list('open')[0]!.message.isSuspect).to.equal(true);
		finish(fixture, findLatest(fixture));
		expect(fixture.broadcasts.at(-1)!.message).to.deep.include({kind: 'suspicions'});
		submit(fixture, createCall('c2'));
		await clock.tickAsync(0);
		expect(fixture.list('open')[1]!.message.isSuspect).to.equal(false);
	});

	it('fails immediately when all endpoints have refused', async () => {
		const fixture = createFixture(['a1', 'a2', 'a3', 'a4', 'a5', 'a6']);
		const {problems} = submit(fixture, createCall('c1'));
		for (let i = 0; i < 6 && problems.length === 0; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(0);
			sendRefused(fixture, 'overloaded');
		}

		await clock.tickAsync(0);
		expect(problems.map(({kind, ran}) => [kind, ran])).to.deep.equal([['overloaded', 'no']]);
		expect(clock.now).to.equal(0);
	});
});
