import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import type {AnswerEvent} from '@wasabiusher/link';
import {ClaimLog} from '@wasabiusher/record';
import {
	createProblem, createSilentLog, profileSchema, Random,
} from '@wasabiusher/shared';
import {
	Faults, FaultyObjects, FaultyTables, type Fault,
} from '../../record/__tests__/faulty-storage.js';
import {
	ClaimedCalls, Invariants, type Call, type CallListener, type Run,
} from '../src/index.js';

/** What happens to the next call: answered; never reached the endpoint; lost after it may have run; ended by its deadline; its entry crashes. */
type Treatment = 'answer' | 'refuse' | 'fail' | 'hang' | 'die';

const endedRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** The service behind any number of entries. Counts the postings of each body. */
class Ledger {
	readonly postings = new Map<string, number>();
	treatments: Treatment[] = [];
	runMs = 50;
	size = 2;

	submit(call: Call, listener: CallListener): Run {
		const treatment = this.treatments.shift() ?? 'answer';
		if (treatment === 'refuse') {
			listener.onFailed(createProblem('unavailable', 'refused', 'no'));
			return endedRun;
		}

		this.postings.set(call.fingerprint, (this.postings.get(call.fingerprint) ?? 0) + 1);
		const handlers: Partial<Record<Treatment, () => void>> = {
			fail() {
				listener.onFailed(createProblem('endpoint-failed', 'lost', 'unknown'));
			},
			hang() {
				setTimeout(() => {
					listener.onFailed(createProblem('deadline-exceeded', 'too late', 'unknown'));
				}, call.deadlineAt - performance.now());
			},
			answer: () => {
				setTimeout(() => {
					listener.onEvent({kind: 'head', status: 201, headers: {'x-posting': call.id}}, 1);
					listener.onEvent({kind: 'body', chunk: new Uint8Array(this.size).fill(65)}, 1);
					listener.onEvent({kind: 'finished'}, 1);
				}, this.runMs);
			},
		};
		handlers[treatment]?.();
		return endedRun;
	}
}

type Received = {status?: number; headers: Record<string, string>; bytes: number; isWhole: boolean; kind?: string; ran?: string; at?: number};

class Fixture {
	readonly ledger = new Ledger();
	readonly faults = new Faults();
	readonly tables = new FaultyTables(this.faults);
	readonly objects = new FaultyObjects(this.faults);
	#calls = 0;

	createEntry(name: string): ClaimedCalls {
		const log = createSilentLog();
		return new ClaimedCalls({
			dispatcher: this.ledger,
			claims: new ClaimLog({tables: this.tables, objects: this.objects, name}),
			invariants: new Invariants(log),
			random: new Random(1),
			log,
		});
	}

	post(entry: ClaimedCalls, key: string, body = key, deadlineMs = 5000): Received & {run: Run} {
		this.#calls += 1;
		const received: Received & {run: Run} = {
			headers: {}, bytes: 0, isWhole: false, run: endedRun,
		};
		const handlers: Partial<{[Kind in AnswerEvent['kind']]: (event: Extract<AnswerEvent, {kind: Kind}>) => void}> = {
			head({status, headers}) {
				Object.assign(received, {status, headers});
			},
			body({chunk}) {
				received.bytes += chunk.length;
			},
			finished() {
				expect(received.isWhole).to.be.false;
				Object.assign(received, {isWhole: true, at: performance.now()});
			},
		};
		received.run = entry.submit(createCall(`call-${this.#calls}`, body, deadlineMs), key, {
			onEvent(event) {
				handlers[event.kind]?.(event as never);
			},
			onRestart: () => false,
			onFailed(problem) {
				expect(received.kind).to.be.undefined;
				Object.assign(received, {kind: problem.kind, ran: problem.ran, at: performance.now()});
			},
		});
		return received;
	}
}

function createCall(id: string, body: string, deadlineMs: number): Call {
	return {
		id,
		service: 'ledger',
		work: {
			kind: 'forward', method: 'POST', path: '/postings', headers: {},
		},
		caller: 'clerk',
		profileName: 'posting',
		profile: profileSchema.parse({class: 'interactive', idempotent: false, deadlineMs}),
		deadlineAt: performance.now() + deadlineMs,
		cost: 1,
		fingerprint: body,
	};
}

describe('ClaimedCalls', () => {
	let clock: Clock;
	let fixture: Fixture;
	let entry: ClaimedCalls;
	let other: ClaimedCalls;

	beforeEach(() => {
		clock = install();
		fixture = new Fixture();
		entry = fixture.createEntry('entry-0');
		other = fixture.createEntry('entry-1');
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('runs a call once and returns the recorded answer through any entry', async () => {
		const first = fixture.post(entry, 'k');
		await clock.tickAsync(1000);
		const again = fixture.post(other, 'k');
		const onceMore = fixture.post(entry, 'k');
		await clock.tickAsync(1000);
		for (const received of [first, again, onceMore]) {
			expect([received.status, received.headers['x-posting'], received.bytes, received.isWhole]).to.deep.equal([201, 'call-1', 2, true]);
		}

		expect(again.headers['idempotency-replayed']).to.equal('true');
		expect([...fixture.ledger.postings]).to.deep.equal([['k', 1]]);
	});

	it('makes a repeated call wait for the running one', async () => {
		fixture.ledger.runMs = 1500;
		const submissions = [entry, entry, other].map(at => fixture.post(at, 'k'));
		await clock.tickAsync(4000);
		expect(submissions.map(({isWhole}) => isWhole)).to.deep.equal([true, true, true]);
		expect(fixture.ledger.postings.get('k')).to.equal(1);
	});

	it('records a large answer in the object store, and reports one that was too large', async () => {
		fixture.ledger.size = 50_000;
		fixture.post(entry, 'large');
		await clock.tickAsync(500);
		const large = fixture.post(other, 'large');
		fixture.ledger.size = 5_000_000;
		fixture.post(entry, 'huge');
		await clock.tickAsync(500);
		const huge = fixture.post(other, 'huge');
		await clock.tickAsync(500);
		expect([large.bytes, large.isWhole, fixture.objects.objects.size]).to.deep.equal([50_000, true, 1]);
		expect([huge.kind, huge.ran]).to.deep.equal(['conflict', 'yes']);
	});

	it('rejects a key that was used for a different call', async () => {
		fixture.post(entry, 'k', 'tank 7: 300');
		const running = fixture.post(entry, 'k', 'tank 8: 300');
		await clock.tickAsync(1000);
		const ended = fixture.post(other, 'k', 'tank 9: 300');
		await clock.tickAsync(1000);
		expect([running.kind, running.ran, ended.kind, ended.ran]).to.deep.equal(['conflict', 'no', 'conflict', 'no']);
		expect([...fixture.ledger.postings.keys()]).to.deep.equal(['tank 7: 300']);
	});

	it('reports unknown if the run was lost, and does not run the call again', async () => {
		fixture.ledger.treatments = ['fail'];
		const first = fixture.post(entry, 'k');
		await clock.tickAsync(500);
		const again = fixture.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.ran, again.ran]).to.deep.equal(['unknown', 'unknown']);
		expect(fixture.ledger.postings.get('k')).to.equal(1);
	});

	it('runs a repeated call if the first one was refused before it ran', async () => {
		fixture.ledger.treatments = ['refuse'];
		const first = fixture.post(entry, 'k');
		await clock.tickAsync(500);
		const again = fixture.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.ran, again.isWhole]).to.deep.equal(['no', true]);
	});

	it('reports unknown if the entry that claimed the key has crashed', async () => {
		fixture.ledger.treatments = ['die'];
		fixture.post(entry, 'k');
		await clock.tickAsync(100);
		const again = fixture.post(other, 'k');
		await clock.tickAsync(5001);
		expect([again.ran, fixture.ledger.postings.get('k')]).to.deep.equal(['unknown', 1]);
		// Long after the deadline of the first call, the answer comes immediately.
		await clock.tickAsync(120_000);
		const late = fixture.post(other, 'k');
		await clock.tickAsync(200);
		expect([late.ran, fixture.ledger.postings.get('k')]).to.deep.equal(['unknown', 1]);
	});

	it('waits for the store until the deadline and then refuses the call as not run', async () => {
		fixture.faults.standing = 'down';
		const short = fixture.post(entry, 'short', 'short', 2000);
		const long = fixture.post(entry, 'long', 'long', 8000);
		await clock.tickAsync(3000);
		expect([short.kind, short.ran, Math.round(short.at!)]).to.deep.equal(['unavailable', 'no', 2000]);
		fixture.faults.standing = 'none';
		await clock.tickAsync(3000);
		expect(long.isWhole).to.be.true;
		expect([...fixture.ledger.postings]).to.deep.equal([['long', 1]]);
	});

	it('does not report a call as not run if its claim may have been written, and does not run it later', async () => {
		fixture.faults.delayMs = 6000;
		const slow = fixture.post(entry, 'k', 'k', 2000);
		await clock.tickAsync(20_000);
		expect(slow.ran).to.equal('unknown');
		expect(fixture.ledger.postings.size).to.equal(0);
		fixture.faults.delayMs = 0;
		const again = fixture.post(other, 'k');
		await clock.tickAsync(2000);
		expect([again.isWhole, fixture.ledger.postings.get('k')]).to.deep.equal([true, 1]);
	});

	it('continues a run without its caller, which requests the answer later', async () => {
		fixture.ledger.runMs = 500;
		const first = fixture.post(entry, 'k');
		await clock.tickAsync(100);
		first.run.cancel();
		await clock.tickAsync(1000);
		const again = fixture.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.isWhole, again.isWhole, fixture.ledger.postings.get('k')]).to.deep.equal([false, true, 1]);
	});

	it('returns the answer from memory while it can not be recorded', async () => {
		const first = fixture.post(entry, 'k');
		await clock.tickAsync(20);
		fixture.faults.standing = 'down';
		await clock.tickAsync(1000);
		const again = fixture.post(entry, 'k');
		await clock.tickAsync(10);
		expect([first.isWhole, again.isWhole, entry.openCalls]).to.deep.equal([true, true, 1]);
		fixture.faults.standing = 'none';
		await clock.tickAsync(2000);
		expect(entry.openCalls).to.equal(0);
	});

	it('batches many claims into few writes', async () => {
		fixture.faults.delayMs = 10;
		const received = Array.from({length: 500}, (_, index) => fixture.post(entry, `k${index}`));
		await clock.tickAsync(3000);
		expect(received.every(({isWhole}) => isWhole)).to.be.true;
		expect(fixture.faults.writes).to.be.at.most(12);
	});

	it('handles a batch in which some keys are taken', async () => {
		fixture.post(other, 'taken');
		await clock.tickAsync(500);
		const received = ['a', 'taken', 'b'].map(key => fixture.post(entry, key));
		await clock.tickAsync(1000);
		expect(received.map(({isWhole}) => isWhole)).to.deep.equal([true, true, true]);
		expect([...fixture.ledger.postings.values()]).to.deep.equal([1, 1, 1]);
	});

	it('never runs a key twice nor reports a wrong outcome, whatever fails', async () => {
		const act = fc.record({
			at: fc.integer({min: 0, max: 2}),
			key: fc.constantFrom('a', 'b'),
			fault: fc.constantFrom<Fault>('none', 'none', 'lost-after', 'lost-before', 'down'),
			standing: fc.constantFrom<Fault>('none', 'none', 'none', 'down'),
			treatment: fc.constantFrom<Treatment>('answer', 'answer', 'refuse', 'fail', 'hang'),
			delayMs: fc.constantFrom(0, 0, 30, 3000),
			passMs: fc.constantFrom(0, 10, 200, 6000),
		});
		await fc.assert(fc.asyncProperty(fc.array(act, {minLength: 1, maxLength: 15}), async acts => {
			const isolatedFixture = new Fixture();
			const entries = ['a', 'b', 'c'].map(name => isolatedFixture.createEntry(name));
			const submissions: Array<{key: string; received: Received}> = [];
			for (const {at, key, fault, standing, treatment, delayMs, passMs} of acts) {
				isolatedFixture.faults.next = [fault];
				isolatedFixture.faults.standing = standing;
				isolatedFixture.faults.delayMs = delayMs;
				isolatedFixture.ledger.treatments = [treatment];
				submissions.push({key, received: isolatedFixture.post(entries[at]!, key, key, 2000)});
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(passMs);
			}

			isolatedFixture.faults.standing = 'none';
			isolatedFixture.faults.delayMs = 0;
			await clock.tickAsync(60_000);
			for (const {key, received} of submissions) {
				const ran = isolatedFixture.ledger.postings.get(key) ?? 0;
				expect(ran).to.be.at.most(1);
				expect(received.isWhole && ran === 0).to.be.false;
				expect(received.isWhole).to.equal(received.kind === undefined);
			}
		}), {numRuns: 100, seed: 1});
	});
});
