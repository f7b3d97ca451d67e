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

/** How the next call goes: answered; never reached the endpoint; lost after it may have run; ended by its deadline; its entry dies. */
type Treatment = 'answer' | 'refuse' | 'fail' | 'hang' | 'die';

const endedRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** The ledger behind any number of entries: counts what it posted. */
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
		const treat: Partial<Record<Treatment, () => void>> = {
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
		treat[treatment]?.();
		return endedRun;
	}
}

type Received = {status?: number; headers: Record<string, string>; bytes: number; isWhole: boolean; kind?: string; ran?: string; at?: number};

class Office {
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
		const takers: Partial<{[Kind in AnswerEvent['kind']]: (event: Extract<AnswerEvent, {kind: Kind}>) => void}> = {
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
				takers[event.kind]?.(event as never);
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
	let office: Office;
	let entry: ClaimedCalls;
	let other: ClaimedCalls;

	beforeEach(() => {
		clock = install();
		office = new Office();
		entry = office.createEntry('entry-0');
		other = office.createEntry('entry-1');
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('runs a call once and gives the recorded answer through any entry', async () => {
		const first = office.post(entry, 'k');
		await clock.tickAsync(1000);
		const again = office.post(other, 'k');
		const onceMore = office.post(entry, 'k');
		await clock.tickAsync(1000);
		for (const received of [first, again, onceMore]) {
			expect([received.status, received.headers['x-posting'], received.bytes, received.isWhole]).to.deep.equal([201, 'call-1', 2, true]);
		}

		expect(again.headers['idempotency-replayed']).to.equal('true');
		expect([...office.ledger.postings]).to.deep.equal([['k', 1]]);
	});

	it('makes a call that is sent again wait for the running one', async () => {
		office.ledger.runMs = 1500;
		const tries = [entry, entry, other].map(at => office.post(at, 'k'));
		await clock.tickAsync(4000);
		expect(tries.map(({isWhole}) => isWhole)).to.deep.equal([true, true, true]);
		expect(office.ledger.postings.get('k')).to.equal(1);
	});

	it('keeps a large answer in the object store, and says so when it was too large', async () => {
		office.ledger.size = 50_000;
		office.post(entry, 'large');
		await clock.tickAsync(500);
		const large = office.post(other, 'large');
		office.ledger.size = 5_000_000;
		office.post(entry, 'huge');
		await clock.tickAsync(500);
		const huge = office.post(other, 'huge');
		await clock.tickAsync(500);
		expect([large.bytes, large.isWhole, office.objects.objects.size]).to.deep.equal([50_000, true, 1]);
		expect([huge.kind, huge.ran]).to.deep.equal(['conflict', 'yes']);
	});

	it('refuses a key that is used for another call', async () => {
		office.post(entry, 'k', 'tank 7: 300');
		const running = office.post(entry, 'k', 'tank 8: 300');
		await clock.tickAsync(1000);
		const ended = office.post(other, 'k', 'tank 9: 300');
		await clock.tickAsync(1000);
		expect([running.kind, running.ran, ended.kind, ended.ran]).to.deep.equal(['conflict', 'no', 'conflict', 'no']);
		expect([...office.ledger.postings.keys()]).to.deep.equal(['tank 7: 300']);
	});

	it('says that it is not known when the run was lost, and does not run again', async () => {
		office.ledger.treatments = ['fail'];
		const first = office.post(entry, 'k');
		await clock.tickAsync(500);
		const again = office.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.ran, again.ran]).to.deep.equal(['unknown', 'unknown']);
		expect(office.ledger.postings.get('k')).to.equal(1);
	});

	it('lets a call run that was refused before it ran', async () => {
		office.ledger.treatments = ['refuse'];
		const first = office.post(entry, 'k');
		await clock.tickAsync(500);
		const again = office.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.ran, again.isWhole]).to.deep.equal(['no', true]);
	});

	it('says that it is not known when the entry that claimed has died', async () => {
		office.ledger.treatments = ['die'];
		office.post(entry, 'k');
		await clock.tickAsync(100);
		const again = office.post(other, 'k');
		await clock.tickAsync(5001);
		expect([again.ran, office.ledger.postings.get('k')]).to.deep.equal(['unknown', 1]);
		// Long after the first one's deadline it is told at once.
		await clock.tickAsync(120_000);
		const late = office.post(other, 'k');
		await clock.tickAsync(200);
		expect([late.ran, office.ledger.postings.get('k')]).to.deep.equal(['unknown', 1]);
	});

	it('waits for the store until the deadline and is then truthfully refused', async () => {
		office.faults.standing = 'down';
		const short = office.post(entry, 'short', 'short', 2000);
		const long = office.post(entry, 'long', 'long', 8000);
		await clock.tickAsync(3000);
		expect([short.kind, short.ran, Math.round(short.at!)]).to.deep.equal(['unavailable', 'no', 2000]);
		office.faults.standing = 'none';
		await clock.tickAsync(3000);
		expect(long.isWhole).to.be.true;
		expect([...office.ledger.postings]).to.deep.equal([['long', 1]]);
	});

	it('does not say "not run" while its claim may have been written, and does not run it later', async () => {
		office.faults.delayMs = 6000;
		const slow = office.post(entry, 'k', 'k', 2000);
		await clock.tickAsync(20_000);
		expect(slow.ran).to.equal('unknown');
		expect(office.ledger.postings.size).to.equal(0);
		office.faults.delayMs = 0;
		const again = office.post(other, 'k');
		await clock.tickAsync(2000);
		expect([again.isWhole, office.ledger.postings.get('k')]).to.deep.equal([true, 1]);
	});

	it('goes on without its caller, who asks for the answer later', async () => {
		office.ledger.runMs = 500;
		const first = office.post(entry, 'k');
		await clock.tickAsync(100);
		first.run.cancel();
		await clock.tickAsync(1000);
		const again = office.post(other, 'k');
		await clock.tickAsync(500);
		expect([first.isWhole, again.isWhole, office.ledger.postings.get('k')]).to.deep.equal([false, true, 1]);
	});

	it('gives the answer from memory while it can not be recorded', async () => {
		const first = office.post(entry, 'k');
		await clock.tickAsync(20);
		office.faults.standing = 'down';
		await clock.tickAsync(1000);
		const again = office.post(entry, 'k');
		await clock.tickAsync(10);
		expect([first.isWhole, again.isWhole, entry.openCalls]).to.deep.equal([true, true, 1]);
		office.faults.standing = 'none';
		await clock.tickAsync(2000);
		expect(entry.openCalls).to.equal(0);
	});

	it('commits many claims in few writes', async () => {
		office.faults.delayMs = 10;
		const received = Array.from({length: 500}, (_, index) => office.post(entry, `k${index}`));
		await clock.tickAsync(3000);
		expect(received.every(({isWhole}) => isWhole)).to.be.true;
		expect(office.faults.writes).to.be.at.most(12);
	});

	it('sorts a batch out in which some keys are taken', async () => {
		office.post(other, 'taken');
		await clock.tickAsync(500);
		const received = ['a', 'taken', 'b'].map(key => office.post(entry, key));
		await clock.tickAsync(1000);
		expect(received.map(({isWhole}) => isWhole)).to.deep.equal([true, true, true]);
		expect([...office.ledger.postings.values()]).to.deep.equal([1, 1, 1]);
	});

	it('never runs a key twice nor refuses untruly, whatever fails', async () => {
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
			const town = new Office();
			const entries = ['a', 'b', 'c'].map(name => town.createEntry(name));
			const tries: Array<{key: string; received: Received}> = [];
			for (const {at, key, fault, standing, treatment, delayMs, passMs} of acts) {
				town.faults.next = [fault];
				town.faults.standing = standing;
				town.faults.delayMs = delayMs;
				town.ledger.treatments = [treatment];
				tries.push({key, received: town.post(entries[at]!, key, key, 2000)});
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(passMs);
			}

			town.faults.standing = 'none';
			town.faults.delayMs = 0;
			await clock.tickAsync(60_000);
			for (const {key, received} of tries) {
				const ran = town.ledger.postings.get(key) ?? 0;
				expect(ran).to.be.at.most(1);
				expect(received.isWhole && ran === 0).to.be.false;
				expect(received.isWhole).to.equal(received.kind === undefined);
			}
		}), {numRuns: 100, seed: 1});
	});
});
