import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Verdict} from '@wasabiusher/decisions';
import type {Message} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {windowEvents} from '../src/index.js';
import {
	createExecutor, createOpen, createPosting, createToken, FakeEngine, FakeService, lastToken,
} from './executor-fixtures.js';

const peer = 'entry-1';

describe('Executor', () => {
	let clock: Clock;
	let engine: FakeEngine;

	beforeEach(() => {
		// P-queue continues in microtasks, which must run without the fake clock.
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		engine = new FakeEngine();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Runs all pending callbacks that are due. */
	async function settle(): Promise<void> {
		await clock.tickAsync(0);
	}

	function createModelExecutor(settings: Partial<Parameters<typeof createExecutor>[0]> = {}) {
		return createExecutor({endpoint: {kind: 'model', engine}, ...settings});
	}

	function openAll(executor: ReturnType<typeof createExecutor>['executor'], ...requests: string[]): void {
		for (const request of requests) {
			executor.open(peer, createOpen(request));
		}
	}

	it('runs requests up to its limit and sends the complete answer with its terminal event', async () => {
		const {executor, find, list} = createModelExecutor();
		openAll(executor, 'a', 'b', 'c');
		await settle();
		expect(engine.runs.map(({options}) => options.requestId)).to.deep.equal(['a.1', 'b.1']);
		engine.runs[0]!.feed.push(createToken('one ', 1), createToken('two', 2), lastToken);
		await settle();
		const events = list('a').flatMap(message => message.kind === 'part' ? [message.event] : []);
		expect(events.flatMap(event => event.kind === 'parts' ? event.parts : [])).to.deep.equal([{text: 'one ', tokens: 1, version: 1}, {text: 'two', tokens: 1, version: 2}]);
		expect(events.at(-1)).to.deep.equal({kind: 'finished', reason: 'stop'});
		expect(find('c', 'started'), 'the free slot is used').not.to.equal(undefined);
	});

	it('fails a request whose answer ends without its terminal event', async () => {
		const {executor, find} = createModelExecutor();
		openAll(executor, 'a');
		await settle();
		engine.runs[0]!.feed.push(createToken('one'));
		engine.runs[0]!.feed.end();
		await settle();
		expect(find('a', 'failed')).to.include({ran: 'yes', hasCrashed: false});
	});

	describe('slots', () => {
		it('are held after a cancellation until the engine confirms the stop', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			engine.onCancel = async () => {
				throw new PlatformError('unknown', 'no answer');
			};

			openAll(executor, 'a', 'b');
			await settle();
			engine.runs[0]!.feed.push(createToken('one'));
			await settle();
			executor.cancel(peer, {request: 'a', attempt: 1});
			await clock.tickAsync(3000);
			expect(engine.runs, 'no run takes the slot of an unconfirmed one').to.have.lengthOf(1);
			expect(executor.describe()).to.include({running: 1, draining: 1, waiting: 1});
			expect(find('a', 'stopped')).to.equal(undefined);
			engine.onCancel = async () => true;
			await clock.tickAsync(2000);
			expect(find('a', 'stopped')).not.to.equal(undefined);
			expect(engine.runs).to.have.lengthOf(2);
			expect(executor.describe()).to.include({running: 1, draining: 0, waiting: 0});
		});

		it('are not freed by a cancellation that may have overtaken its request', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			engine.onCancel = async () => false;
			openAll(executor, 'a');
			await settle();
			executor.cancel(peer, {request: 'a', attempt: 1});
			await settle();
			expect(find('a', 'stopped')).to.equal(undefined);
			await clock.tickAsync(100);
			expect(engine.cancelled).to.deep.equal(['a.1', 'a.1']);
			expect(find('a', 'stopped')).not.to.equal(undefined);
		});

		it('of a plain service are held for the typical run time of its calls', async () => {
			const service = new FakeService();
			const {executor} = createExecutor({endpoint: {kind: 'plain', service}, limit: 1});
			executor.open(peer, createPosting('slow', {isIdempotent: true}));
			await clock.tickAsync(400);
			service.calls[0]!.feed.push({kind: 'head', status: 200, headers: {}}, {kind: 'finished'});
			await settle();
			executor.open(peer, createPosting('left', {isIdempotent: true}));
			await clock.tickAsync(100);
			executor.cancel(peer, {request: 'left', attempt: 1});
			await settle();
			expect(service.calls[1]!.signal.aborted, 'the connection is closed immediately').to.equal(true);
			await clock.tickAsync(290);
			expect(executor.describe().draining).to.equal(1);
			await clock.tickAsync(20);
			expect(executor.describe().draining).to.equal(0);
		});

		it('are left free by rollouts, so that an interactive caller gets one immediately', async () => {
			const {executor, find} = createModelExecutor({limit: 8, maxWaiting: 100});
			for (let index = 0; index < 12; index += 1) {
				executor.open(peer, createOpen(`r${index}`, {class: 'rollout', caller: `trainer-${index}`}));
			}

			await settle();
			expect(executor.describe()).to.include({running: 7, waiting: 5});
			openAll(executor, 'a');
			await settle();
			expect(find('a', 'started')).not.to.equal(undefined);
			expect(executor.describe()).to.include({running: 8, waiting: 5, interactive: 1});
			executor.updateReportedRuns(8);
			engine.runs[0]!.feed.push(lastToken);
			await settle();
			expect(executor.describe(), 'the slot is not taken by a rollout').to.include({running: 7, waiting: 5});
		});

		it('are counted for runs that the engine started before the agent did', async () => {
			const {executor} = createModelExecutor({limit: 4});
			executor.updateReportedRuns(3);
			openAll(executor, 'a', 'b', 'c', 'd');
			await settle();
			expect(engine.runs).to.have.lengthOf(1);
			expect(executor.describe()).to.include({limit: 1, draining: 3});
			executor.updateReportedRuns(2);
			await settle();
			expect(engine.runs, 'one of the inherited runs has ended').to.have.lengthOf(2);
			await clock.tickAsync(2000);
			executor.updateReportedRuns(2);
			await settle();
			expect(engine.runs, 'both runs in the report were started by the agent').to.have.lengthOf(4);
		});
	});

	describe('a waiting request', () => {
		it('ends immediately as not run when cancelled', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			openAll(executor, 'a', 'b');
			await settle();
			executor.cancel(peer, {request: 'b', attempt: 1});
			expect(find('b', 'refused')).to.include({reason: 'cancelled'});
			expect(executor.describe().waiting).to.equal(0);
			engine.runs[0]!.feed.push(lastToken);
			await settle();
			expect(engine.runs).to.have.lengthOf(1);
		});

		it('ends as not run at its deadline', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			openAll(executor, 'a');
			executor.open(peer, createOpen('b', {remainingMs: 500}));
			await clock.tickAsync(501);
			expect(find('b', 'refused')).to.include({reason: 'expired'});
			expect(find('b', 'started')).to.equal(undefined);
		});

		it('is refused immediately when the queue is full, with the time after which to retry', async () => {
			const {executor, find} = createModelExecutor({limit: 1, maxWaiting: 2});
			for (const caller of ['x', 'y', 'z', 'w']) {
				executor.open(peer, createOpen(caller, {caller}));
			}

			expect(find('w', 'refused')).to.include({reason: 'overloaded'});
			expect(find('w', 'refused')!.retryAfterMs).to.be.greaterThan(0);
		});

		it('is refused if it would wait longer than its deadline', async () => {
			const {executor, find} = createModelExecutor({limit: 1, maxWaiting: 100});
			openAll(executor, 'a', 'b');
			executor.open(peer, createOpen('long', {cost: 2000, remainingMs: 60_000}));
			executor.open(peer, createOpen('late', {cost: 8, remainingMs: 20}));
			await settle();
			expect(find('late', 'refused')).to.include({reason: 'overloaded'});
		});
	});

	it('stops a run at its deadline and notifies its entry without waiting for the engine', async () => {
		const {executor, find} = createModelExecutor();
		engine.onCancel = async () => {
			throw new PlatformError('unknown', 'no answer');
		};

		executor.open(peer, createOpen('a', {remainingMs: 500}));
		await settle();
		engine.runs[0]!.feed.push(createToken('one'));
		await clock.tickAsync(501);
		expect(find('a', 'failed')).to.include({ran: 'yes', hasCrashed: false});
		expect(executor.describe().draining).to.equal(1);
	});

	describe('the reported `ran`', () => {
		const cases: Array<[name: string, error: Error, tokens: number, ran: string]> = [
			['is no if nothing was sent', new PlatformError('unavailable', 'refused'), 0, 'no'],
			['is no if the endpoint refused', new PlatformError('refused', 'no such model'), 0, 'no'],
			['is unknown if the answer was lost', new PlatformError('unknown', 'reset'), 0, 'unknown'],
			['is unknown for an unexpected error', new Error('unexpected'), 0, 'unknown'],
			['is yes if a part was received', new PlatformError('unavailable', 'refused'), 1, 'yes'],
		];
		async function checkRan(error: Error, tokens: number, ran: string): Promise<void> {
			const {executor, find} = createModelExecutor();
			openAll(executor, 'a');
			await settle();
			engine.runs[0]!.feed.push(...Array.from({length: tokens}, () => createToken('t')));
			engine.runs[0]!.feed.fail(error);
			await settle();
			expect(find('a', 'failed')).to.include({ran});
		}

		for (const [name, error, tokens, ran] of cases) {
			it(name, async () => {
				await checkRan(error, tokens, ran);
			});
		}
	});

	describe('a non-idempotent request', () => {
		let service: FakeService;

		function createPlainExecutor() {
			return createExecutor({endpoint: {kind: 'plain', service}, limit: 2});
		}

		beforeEach(() => {
			service = new FakeService();
		});

		it('does not run again by another attempt, which is not reported as a refusal', async () => {
			const {executor, find, list} = createPlainExecutor();
			executor.open(peer, createPosting('p'));
			await settle();
			executor.open(peer, createPosting('p', {attempt: 2}));
			service.calls[0]!.feed.fail(new PlatformError('unknown', 'reset'));
			await settle();
			executor.open(peer, createPosting('p', {attempt: 3}));
			await settle();
			expect(service.calls).to.have.lengthOf(1);
			expect(find('p', 'failed')).to.include({attempt: 3, ran: 'unknown'});
			expect(list('p').filter(({kind}) => kind === 'refused')).to.deep.equal([]);
		});

		it('runs by another attempt if the earlier one is proven not to have run', async () => {
			const {executor} = createPlainExecutor();
			executor.open(peer, createPosting('p'));
			await settle();
			service.calls[0]!.feed.fail(new PlatformError('unavailable', 'connection refused'));
			await settle();
			executor.open(peer, createPosting('p', {attempt: 2}));
			await settle();
			expect(service.calls).to.have.lengthOf(2);
		});

		it('replaces its own earlier attempt that still waits', async () => {
			const {executor, find} = createPlainExecutor();
			executor.open(peer, createPosting('x'));
			executor.open(peer, createPosting('y'));
			executor.open(peer, createPosting('p'));
			executor.open(peer, createPosting('p', {attempt: 2}));
			expect(find('p', 'refused')).to.include({attempt: 1, reason: 'cancelled'});
			for (const call of service.calls) {
				call.feed.push({kind: 'finished'});
			}

			await settle();
			expect(service.calls.map(({path}) => path)).to.deep.equal(['/x', '/y', '/p']);
		});

		it('continues when the link to its entry is lost, and its answer can be requested', async () => {
			const {executor, list} = createPlainExecutor();
			executor.open(peer, createPosting('p', {remainingMs: 60_000}));
			await settle();
			executor.detach(peer);
			await clock.tickAsync(10_001);
			expect(service.calls[0]!.signal.aborted).to.equal(false);
			executor.attach(peer);
			executor.resume(peer, {
				kind: 'resume', request: 'p', attempt: 1, next: 0,
			});
			expect(list('p').at(-1)).to.include({kind: 'started'});
		});
	});

	describe('a replaced link', () => {
		it('gets the answer from the first missing part on', async () => {
			const {executor, sent, list} = createModelExecutor();
			openAll(executor, 'a');
			await settle();
			const {feed} = engine.runs[0]!;
			for (const text of ['one', 'two', 'three']) {
				feed.push(createToken(text));
				// Each token is sent as a separate part.
				// eslint-disable-next-line no-await-in-loop
				await settle();
			}

			executor.detach(peer);
			feed.push(lastToken);
			await settle();
			executor.attach(peer);
			sent.length = 0;
			executor.resume(peer, {
				kind: 'resume', request: 'a', attempt: 1, next: 2,
			});
			expect(list('a').map(message => message.kind === 'part' ? message.sequence : message.kind)).to.deep.equal(['started', 2, 3]);
			executor.acknowledge(peer, {
				kind: 'acknowledge', request: 'a', attempt: 1, next: 4,
			});
			executor.resume(peer, {
				kind: 'resume', request: 'a', attempt: 1, next: 4,
			});
			expect(list('a').at(-1), 'an acknowledged answer is removed').to.include({kind: 'failed', ran: 'unknown'});
		});

		it('gets the outcome of an attempt that ended in the meantime', async () => {
			let isUp = true;
			const messages: Message[] = [];
			const {executor} = createModelExecutor({
				send(_peer, message) {
					if (isUp) {
						messages.push(message);
					}

					return isUp;
				},
			});
			openAll(executor, 'a');
			await settle();
			isUp = false;
			engine.runs[0]!.feed.fail(new PlatformError('refused', 'not held'));
			await settle();
			expect(messages.map(({kind}) => kind)).to.deep.equal(['started']);
			isUp = true;
			executor.resume(peer, {
				kind: 'resume', request: 'a', attempt: 1, next: 0,
			});
			expect(messages.at(-1)).to.include({kind: 'failed', ran: 'no'});
		});

		it('that does not come up in time stops the runs of its entry and removes its waiting requests', async () => {
			const {executor} = createModelExecutor({limit: 1});
			openAll(executor, 'a', 'b');
			await settle();
			executor.detach(peer);
			await clock.tickAsync(9999);
			expect(engine.cancelled).to.deep.equal([]);
			await clock.tickAsync(200);
			expect(engine.cancelled[0]).to.equal('a.1');
			expect(executor.describe()).to.include({running: 0, waiting: 0});
		});

		it('gets no answer that was not acknowledged within the retention period', async () => {
			const {executor, find} = createModelExecutor();
			openAll(executor, 'a');
			await settle();
			engine.runs[0]!.feed.push(createToken('one'), lastToken);
			await clock.tickAsync(30_001);
			executor.resume(peer, {
				kind: 'resume', request: 'a', attempt: 1, next: 0,
			});
			expect(find('a', 'failed')).to.include({ran: 'unknown'});
		});
	});

	describe('a request that was lost with its link', () => {
		const lost = (sentAgoMs?: number, next = 0) => ({
			kind: 'resume', request: 'lost', attempt: 1, next, sentAgoMs,
		} as const);

		it('is proven not to have run', async () => {
			const {executor, find} = createModelExecutor();
			await clock.tickAsync(20_000);
			executor.resume(peer, lost(4000));
			expect(find('lost', 'refused')).to.include({reason: 'not-received'});
		});

		it('is not proven by an agent that may have started since', async () => {
			const {executor, find} = createModelExecutor();
			await clock.tickAsync(8000);
			executor.resume(peer, lost(4000));
			expect(find('lost', 'failed')).to.include({ran: 'unknown'});
		});

		it('is not proven if it is so old that it may have been removed', async () => {
			const {executor, find} = createModelExecutor();
			await clock.tickAsync(100_000);
			executor.resume(peer, lost(26_000));
			expect(find('lost', 'failed')).to.include({ran: 'unknown'});
		});

		it('is not proven if a part was received or its age is missing', async () => {
			const {executor, list} = createModelExecutor();
			await clock.tickAsync(100_000);
			executor.resume(peer, lost(4000, 1));
			executor.resume(peer, lost());
			expect(list('lost').map(({kind}) => kind)).to.deep.equal(['failed', 'failed']);
		});
	});

	it('stops reading at its window while its entry does not acknowledge', async () => {
		const {executor, list} = createModelExecutor();
		openAll(executor, 'a');
		await settle();
		const {feed} = engine.runs[0]!;
		for (let index = 0; index < windowEvents * 2; index += 1) {
			feed.push(createToken('t'));
		}

		await clock.tickAsync(1000);
		const countParts = () => list('a').filter(({kind}) => kind === 'part').length;
		expect(countParts()).to.equal(windowEvents);
		executor.acknowledge(peer, {
			kind: 'acknowledge', request: 'a', attempt: 1, next: 16,
		});
		await clock.tickAsync(1000);
		expect(countParts()).to.equal(windowEvents + 16);
	});

	describe('a crash of the endpoint', () => {
		it('ends all requests in flight as crashed, frees the slots, and returns the fingerprints', async () => {
			const {executor, find} = createModelExecutor();
			openAll(executor, 'a', 'b', 'c');
			await settle();
			engine.runs[0]!.feed.push(createToken('one'));
			await settle();
			expect(executor.crash()).to.deep.equal(['content of a', 'content of b']);
			await settle();
			expect(find('a', 'failed')).to.include({hasCrashed: true, ran: 'yes'});
			expect(find('b', 'failed')).to.include({hasCrashed: true, ran: 'unknown'});
			expect(find('c', 'started')).not.to.equal(undefined);
		});

		it('ends the wait for the confirmation of a stop', async () => {
			const {executor, find} = createModelExecutor();
			engine.onCancel = async () => {
				throw new PlatformError('unavailable', 'connection refused');
			};

			openAll(executor, 'a');
			await settle();
			executor.cancel(peer, {request: 'a', attempt: 1});
			await clock.tickAsync(5000);
			expect(executor.describe().draining).to.equal(1);
			executor.crash();
			await settle();
			expect(executor.describe().draining).to.equal(0);
			expect(find('a', 'stopped')).not.to.equal(undefined);
		});

		it('is checked for when a stream breaks off; a broken stream alone is no crash', async () => {
			let hasCrashed = false;
			const {executor, find} = createModelExecutor({checkCrash: async () => hasCrashed});
			openAll(executor, 'a', 'b');
			await settle();
			engine.runs[0]!.feed.fail(new PlatformError('unknown', 'reset'));
			await settle();
			expect(find('a', 'failed')).to.include({hasCrashed: false});
			hasCrashed = true;
			engine.runs[1]!.feed.fail(new PlatformError('unknown', 'reset'));
			await settle();
			expect(find('b', 'failed')).to.include({hasCrashed: true});
		});
	});

	it('does not attribute a crash to a request that is proven not to have reached the endpoint', async () => {
		const {executor, find} = createModelExecutor({checkCrash: async () => true});
		openAll(executor, 'a');
		await settle();
		engine.runs[0]!.feed.fail(new PlatformError('unavailable', 'connection refused'));
		await settle();
		expect(find('a', 'failed')).to.include({ran: 'no', hasCrashed: false});
	});

	describe('a suspect', () => {
		it('runs in isolation, after the running requests have ended', async () => {
			const {executor, find} = createModelExecutor();
			openAll(executor, 'a');
			executor.open(peer, createOpen('s', {isSuspect: true}));
			openAll(executor, 'b');
			await settle();
			expect(engine.runs.map(({options}) => options.requestId)).to.deep.equal(['a.1']);
			engine.runs[0]!.feed.push(lastToken);
			await settle();
			expect(engine.runs.map(({options}) => options.requestId)).to.deep.equal(['a.1', 's.1']);
			engine.runs[1]!.feed.push(lastToken);
			await settle();
			expect(find('b', 'started')).not.to.equal(undefined);
		});

		it('that is cancelled while it waits delays no other request', async () => {
			const {executor} = createModelExecutor();
			openAll(executor, 'a');
			executor.open(peer, createOpen('s', {isSuspect: true}));
			openAll(executor, 'b');
			await settle();
			executor.cancel(peer, {request: 's', attempt: 1});
			await settle();
			expect(engine.runs.map(({options}) => options.requestId)).to.deep.equal(['a.1', 'b.1']);
		});

		it('is recognised by its fingerprint even if its entry does not know it, and refused once quarantined', async () => {
			const verdicts: Record<string, Verdict['kind']> = {'content of s': 'isolate', 'content of q': 'quarantined'};
			const {executor, find} = createModelExecutor({judge: fingerprint => verdicts[fingerprint] ?? 'free'});
			openAll(executor, 'a', 's', 'q');
			await settle();
			expect(engine.runs).to.have.lengthOf(1);
			expect(find('q', 'refused')).to.include({reason: 'quarantined'});
		});
	});

	describe('a model that is to be unloaded', () => {
		it('gets no new work, returns waiting requests, and is released when its last run has ended', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			openAll(executor, 'a', 'b');
			await settle();
			let isRetired: boolean | undefined;
			const retired = executor.retire('trail', 10_000).then(isDone => {
				isRetired = isDone;
			});
			openAll(executor, 'c');
			expect(find('b', 'refused')).to.include({reason: 'not-loaded'});
			expect(find('c', 'refused')).to.include({reason: 'not-loaded'});
			await clock.tickAsync(1000);
			expect(isRetired).to.equal(undefined);
			engine.runs[0]!.feed.push(lastToken);
			await clock.tickAsync(100);
			await retired;
			expect(isRetired).to.equal(true);
			executor.restore('trail');
			openAll(executor, 'd');
			await settle();
			expect(find('d', 'started')).not.to.equal(undefined);
		});

		it('is not released while a run continues', async () => {
			const {executor} = createModelExecutor();
			openAll(executor, 'a');
			await settle();
			const retired = executor.retire('trail', 1000);
			await clock.tickAsync(1100);
			expect(await retired).to.equal(false);
		});
	});

	describe('draining', () => {
		it('refuses new requests, returns waiting ones, and lets runs finish', async () => {
			const {executor, find} = createModelExecutor({limit: 1});
			openAll(executor, 'a', 'b');
			await settle();
			let isDrained = false;
			const drained = executor.drain().then(() => {
				isDrained = true;
			});
			openAll(executor, 'c');
			expect(find('b', 'refused')).to.include({reason: 'leaving'});
			expect(find('c', 'refused')).to.include({reason: 'leaving'});
			await clock.tickAsync(5000);
			expect(isDrained).to.equal(false);
			engine.runs[0]!.feed.push(createToken('one'), lastToken);
			await drained;
			expect(executor.countUnacknowledged()).to.equal(1);
			executor.acknowledge(peer, {
				kind: 'acknowledge', request: 'a', attempt: 1, next: 2,
			});
			expect(executor.countUnacknowledged()).to.equal(0);
		});
	});

	it('does not wait forever, while it drains, for a stop that the engine does not confirm', async () => {
		const {executor} = createModelExecutor();
		engine.onCancel = async () => {
			throw new PlatformError('unknown', 'no answer');
		};

		openAll(executor, 'a');
		await settle();
		executor.cancel(peer, {request: 'a', attempt: 1});
		let isDrained = false;
		const drained = executor.drain().then(() => {
			isDrained = true;
		});
		await clock.tickAsync(9000);
		expect(isDrained).to.equal(false);
		await clock.tickAsync(3000);
		await drained;
		expect(isDrained).to.equal(true);
	});

	it('cancels a run at the engine that was started before a restart of the agent', async () => {
		const {executor} = createModelExecutor();
		executor.cancel(peer, {request: 'old', attempt: 3});
		await settle();
		expect(engine.cancelled).to.deep.equal(['old.3']);
	});

	it('leaves no timers behind', async () => {
		const {executor} = createModelExecutor();
		openAll(executor, 'a', 'b', 'c');
		await settle();
		executor.detach('entry-2');
		for (const {feed} of engine.runs) {
			feed.push(createToken('one'), lastToken);
		}

		await settle();
		executor.cancel(peer, {request: 'c', attempt: 1});
		await settle();
		executor.close();
		expect(clock.countTimers()).to.equal(0);
	});
});
