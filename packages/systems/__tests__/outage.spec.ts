import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ClaimLog} from '@wasabiusher/record';
import {
	createProblem, createSilentLog, profileSchema, Random,
} from '@wasabiusher/shared';
import {ClaimedCalls, Invariants} from '../src/index.js';
import {
	createRequest, FakeTrainer, openHere, World,
} from './steps-fixtures.js';

const outageMs = 60_000;

/** Duration of a run, in milliseconds: a minute before the outage, the outage, and a minute after it. */
const totalMs = 3 * outageMs;

type CallOutcome = {sentAt: number; answeredMs?: number; ran?: string};

/** Submits a keyed call each 200 ms, each with a deadline, and records the outcomes. */
async function submitDuringOutage(clock: Clock, world: World, deadlineMs: number): Promise<CallOutcome[]> {
	const log = createSilentLog();
	const claimed = new ClaimedCalls({
		dispatcher: {
			submit(call, listener) {
				const timer = setTimeout(() => {
					listener.onEvent({kind: 'head', status: 201, headers: {}}, 1);
					listener.onEvent({kind: 'finished'}, 1);
				}, 20);
				return {
					cancel() {
						clearTimeout(timer);
						listener.onFailed(createProblem('internal', `${call.id} was cancelled`, 'unknown'));
					},
				};
			},
		},
		claims: new ClaimLog({tables: world.tables, objects: world.objects, name: 'entry-0'}),
		invariants: new Invariants(log),
		random: new Random(1),
		log,
	});
	const outcomes: CallOutcome[] = [];
	for (let sentAt = 0; sentAt < totalMs; sentAt += 200) {
		world.faults.standing = sentAt >= outageMs && sentAt < 2 * outageMs ? 'down' : 'none';
		const outcome: CallOutcome = {sentAt};
		outcomes.push(outcome);
		claimed.submit({
			id: `post-${sentAt}`,
			service: 'ledger',
			work: {
				kind: 'forward', method: 'POST', path: '/postings', headers: {},
			},
			caller: 'clerk',
			profileName: 'posting',
			profile: profileSchema.parse({class: 'interactive', idempotent: false, deadlineMs}),
			deadlineAt: performance.now() + deadlineMs,
			cost: 1,
			fingerprint: `post-${sentAt}`,
		}, `post-${sentAt}`, {
			onEvent({kind}) {
				if (kind === 'finished') {
					outcome.answeredMs = performance.now() - sentAt;
				}
			},
			onRestart: () => false,
			onFailed({ran}) {
				outcome.ran = ran;
			},
		});
		// eslint-disable-next-line no-await-in-loop
		await clock.tickAsync(200);
	}

	await clock.tickAsync(60_000);
	return outcomes;
}

describe('a 60 s outage of the store', () => {
	let clock: Clock;
	let world: World;

	beforeEach(() => {
		clock = install();
		world = new World();
		world.faults.delayMs = 5;
	});

	afterEach(() => {
		world.stop();
		clock.uninstall();
	});

	it('refuses calls with a deadline of 5 s only during the outage, and leaves no outcome unknown', async () => {
		const outcomes = await submitDuringOutage(clock, world, 5000);
		const answered = outcomes.filter(({answeredMs}) => answeredMs !== undefined);
		const refused = outcomes.filter(({ran}) => ran === 'no');
		expect([outcomes.length, answered.length, refused.length]).to.deep.equal([900, 622, 278]);
		expect(refused.every(({sentAt}) => sentAt >= outageMs && sentAt < 2 * outageMs)).to.be.true;
	});

	it('only delays calls with a deadline of 90 s', async () => {
		const outcomes = await submitDuringOutage(clock, world, 90_000);
		expect(outcomes.filter(({answeredMs}) => answeredMs === undefined)).to.be.empty;
		const slowest = Math.max(...outcomes.map(({answeredMs}) => answeredMs!));
		expect(slowest).to.be.within(60_000, 62_000);
	});

	it('does not delay trainers and loses no sample', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.sampleMs = 1000;
		const trainers = Array.from({length: 9}, () => new FakeTrainer());
		for (const [index, trainer] of trainers.entries()) {
			// One step per 20 s, three of them during the outage.
			world.faults.standing = index >= 3 && index < 6 ? 'down' : 'none';
			const opening = openHere(entry, createRequest({id: `step-${index}`}));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1100);
			// eslint-disable-next-line no-await-in-loop
			void trainer.pull(entry.runner, await opening);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(18_900);
		}

		expect(trainers.map(({received, isWhole}) => [received.size, isWhole])).to.deep.equal(trainers.map(() => [12, true]));
		expect(world.endpoints.generated).to.equal(9 * 12);
		const metrics = await entry.registry.metrics();
		expect(metrics).to.match(/wasabiusher_trainer_idle_seconds_sum 0(\.0\d*)?\n/v);
	});
});
