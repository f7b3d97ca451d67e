import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {createProblem, profileSchema} from '@wasabiusher/shared';
import type {Fault} from '../../record/__tests__/faulty-storage.js';
import {
	createRequest, FakeTrainer, locateHere, openHere, World,
} from './steps-fixtures.js';

const scoredProfile = profileSchema.parse({
	class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 1}, scoring: {service: 'scorer', waitMs: 500},
});

describe('StepRunner', () => {
	let clock: Clock;
	let world: World;
	let trainer: FakeTrainer;

	beforeEach(() => {
		clock = install();
		world = new World();
		trainer = new FakeTrainer();
	});

	afterEach(() => {
		world.stop();
		clock.uninstall();
	});

	it('delivers each sample once, in whole groups, and closes the step in the record', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(500);
		expect([trainer.received.size, trainer.isWhole]).to.deep.equal([12, true]);
		expect(entry.runner.acknowledge(step, [...trainer.received.keys()])).to.be.undefined;
		await clock.tickAsync(2000);
		expect(step.describe().isWhole).to.be.true;
		// Another entry finds the step closed and draws no samples.
		const other = world.createEntry('entry-1');
		const again = await locateHere(other);
		expect([again.isWhole, world.endpoints.generated]).to.deep.equal([true, 12]);
	});

	it('holds a group back until all its samples are ready', async () => {
		const entry = world.createEntry('entry-0');
		let isRefused = true;
		world.endpoints.treat = ({id}) => isRefused && id.startsWith('step-1/1/2#') ? createProblem('overloaded', 'full', 'no', 1000) : undefined;
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(1000);
		expect(new Set([...trainer.received.values()].map(({group}) => group))).to.deep.equal(new Set([0, 2]));
		isRefused = false;
		await clock.tickAsync(4000);
		expect(trainer.isWhole).to.be.true;
	});

	it('returns the same step when it is posted again, and refuses other content as a conflict', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		expect(await openHere(entry)).to.equal(step);
		const conflict = await entry.runner.open(createRequest({maxTokens: 9}));
		expect(conflict.kind === 'refused' && conflict.problem.kind).to.equal('conflict');
		await clock.tickAsync(2000);
		const elsewhere = await world.createEntry('entry-1').runner.open(createRequest({maxTokens: 9}), {isOwnerGone: true});
		expect(elsewhere.kind === 'refused' && elsewhere.problem.kind).to.equal('conflict');
	});

	it('refuses an unknown step, an unknown sample and a cursor of another step', async () => {
		const entry = world.createEntry('entry-0');
		const unknown = await entry.runner.locate('no-such-step');
		expect(unknown.kind === 'refused' && unknown.problem.kind).to.equal('not-found');
		const step = await openHere(entry);
		for (const id of ['step-1/3/0', 'step-1/0/4', 'step-2/0/0', 'step-1/00/0', 'x']) {
			expect(entry.runner.acknowledge(step, [id])?.detail).to.contain(id);
		}

		for (const after of ['12', 'r_____w', 'r!']) {
			expect(entry.runner.pull(step, {after, version: 1, signal: new AbortController().signal})).to.have.property('kind', 'bad-request');
		}
	});

	it('continues from the record when its entry crashes, without missing or duplicate samples', async () => {
		const [first, second] = [world.createEntry('entry-0'), world.createEntry('entry-1')];
		world.endpoints.treat = ({id}) => id.startsWith('step-1/2/') ? 'hang' : undefined;
		void trainer.pull(first.runner, await openHere(first)).catch(() => undefined);
		await clock.tickAsync(3000);
		expect(trainer.received.size).to.equal(8);
		first.kill();
		world.endpoints.treat = undefined;
		const elsewhere = await second.runner.locate('step-1');
		expect(elsewhere).to.deep.equal({kind: 'elsewhere', address: 'entry-0'});
		const diedAt = performance.now();
		void trainer.pull(second.runner, await locateHere(second, {isOwnerGone: true}));
		await clock.tickAsync(200);
		expect([trainer.isWhole, performance.now() - diedAt]).to.deep.equal([true, 200]);
		expect(world.endpoints.generated).to.equal(12);
	});

	it('redelivers samples that were lost with a connection', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		await clock.tickAsync(500);
		trainer.loses = 1;
		await trainer.pull(entry.runner, step);
		expect(trainer.received.size).to.equal(0);
		await trainer.pull(entry.runner, step);
		expect([trainer.received.size, trainer.isWhole]).to.deep.equal([12, true]);
	});

	it('delivers samples that become ready while the trainer reads', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.treat = ({id}) => id.startsWith('step-1/2/') && performance.now() < 100 ? createProblem('overloaded', 'full', 'no') : undefined;
		trainer.readMs = 300;
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(10_000);
		expect(trainer.isWhole).to.be.true;
	});

	it('ends the earlier pull when the trainer starts another one', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		const silent = trainer.pull(entry.runner, step);
		await clock.tickAsync(10);
		const secondTrainer = new FakeTrainer();
		void secondTrainer.pull(entry.runner, step);
		await silent;
		await clock.tickAsync(500);
		expect([trainer.received.size, secondTrainer.received.size]).to.deep.equal([0, 12]);
	});

	it('delivers while the store is down, also to a trainer that moves to another entry', async () => {
		const [first, second] = [world.createEntry('entry-0'), world.createEntry('entry-1')];
		world.endpoints.treat = ({id}) => id.startsWith('step-1/2/') ? 'hang' : undefined;
		void trainer.pull(first.runner, await openHere(first)).catch(() => undefined);
		await clock.tickAsync(50);
		world.faults.standing = 'down';
		await clock.tickAsync(1000);
		expect(trainer.received.size).to.equal(8);
		first.kill();
		world.endpoints.treat = undefined;
		const unreadable = await second.runner.locate('step-1');
		expect(unreadable.kind === 'refused' && unreadable.problem.kind).to.equal('unavailable');
		void trainer.pull(second.runner, await openHere(second));
		await clock.tickAsync(500);
		expect([trainer.received.size, trainer.isWhole]).to.deep.equal([12, true]);
		world.faults.standing = 'none';
		await clock.tickAsync(20_000);
		const step = await locateHere(second);
		expect(step.describe().isRecorded).to.be.true;
	});

	it('does not wait for a store that does not answer', async () => {
		const entry = world.createEntry('entry-0');
		world.faults.delayMs = 60_000;
		const opening = openHere(entry);
		await clock.tickAsync(1000);
		void trainer.pull(entry.runner, await opening);
		await clock.tickAsync(200);
		expect(trainer.isWhole).to.be.true;
	});

	it('does not wait for recorded samples that take long to read', async () => {
		const [first, second] = [world.createEntry('entry-0'), world.createEntry('entry-1')];
		await openHere(first);
		await clock.tickAsync(3000);
		first.kill();
		world.faults.delayMs = 400;
		const locating = locateHere(second, {isOwnerGone: true});
		await clock.tickAsync(850);
		world.faults.delayMs = 5000;
		await clock.tickAsync(1000);
		void trainer.pull(second.runner, await locating);
		await clock.tickAsync(500);
		expect([trainer.isWhole, world.endpoints.generated]).to.deep.equal([true, 24]);
	});

	it('starts no more groups for a trainer that does not acknowledge, and continues with others', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.textLength = 2 ** 21;
		world.faults.standing = 'down';
		const request = createRequest({groups: Array.from({length: 600}, () => ({prompt: 'a'})), groupSize: 2});
		const step = await openHere(entry, request);
		await clock.tickAsync(1000);
		// The maximum of 1,024 concurrent attempts, and the eight started as the first eight finished, before the held text reached its limit.
		expect(step.describe().ready).to.equal(1024 + 8);
		expect(await openHere(entry, createRequest({id: 'step-2', trainer: 'route'}))).to.have.property('outstanding', 12);
		entry.runner.acknowledge(step, Array.from({length: 513}, (_, group) => [`step-1/${group}/0`, `step-1/${group}/1`]).flat());
		await clock.tickAsync(1000);
		expect(step.describe()).to.include({ready: 174, acknowledged: 1026});
	});

	it('refuses steps above its limit of open steps', async () => {
		const entry = world.createEntry('entry-0');
		const request = createRequest({groups: [{prompt: 'a'}], groupSize: 1});
		for (let i = 0; i < 256; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await openHere(entry, {...request, id: `step-${i}`});
		}

		const refused = await entry.runner.open({...request, id: 'one-too-many'});
		expect(refused.kind === 'refused' && [refused.problem.kind, refused.problem.ran]).to.deep.equal(['overloaded', 'no']);
	});

	it('commits samples in few writes, despite lost answers', async () => {
		const entry = world.createEntry('entry-0');
		world.faults.delayMs = 5;
		const request = createRequest({groups: Array.from({length: 64}, () => ({prompt: 'a'})), groupSize: 8});
		const opening = openHere(entry, request);
		await clock.tickAsync(50);
		const step = await opening;
		world.faults.next = ['none', 'lost-after', 'lost-before'];
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(3000);
		expect(trainer.received.size).to.equal(512);
		const other = world.createEntry('entry-1');
		const locating = locateHere(other, {isOwnerGone: true});
		await clock.tickAsync(500);
		const recorded = await locating;
		expect([recorded.describe().ready, world.endpoints.generated]).to.deep.equal([512, 512]);
		expect(world.faults.writes).to.be.at.most(20);
	});

	it('redraws samples that are stale for the trainer\'s version, and delivers none beyond its staleness limit', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		await clock.tickAsync(500);
		world.endpoints.version = 3;
		trainer.version = 3;
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(500);
		expect([trainer.isWhole, world.endpoints.generated]).to.deep.equal([true, 24]);
		expect([...trainer.received.values()].every(({versions}) => versions[0]!.version >= 2)).to.be.true;
	});

	it('cancels attempts that become stale while they run', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.sampleMs = 1000;
		const step = await openHere(entry);
		await clock.tickAsync(600);
		world.endpoints.version = 3;
		trainer.version = 3;
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(900);
		expect(world.endpoints.generated).to.equal(0);
		await clock.tickAsync(200);
		expect([trainer.isWhole, world.endpoints.generated]).to.deep.equal([true, 12]);
	});

	it('draws no samples that could not be delivered, until endpoints have a fresh enough version', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		await clock.tickAsync(500);
		trainer.version = 3;
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(5000);
		expect([trainer.received.size, world.endpoints.generated]).to.deep.equal([0, 12]);
		world.endpoints.version = 2;
		await clock.tickAsync(2000);
		expect(trainer.isWhole).to.be.true;
	});

	it('starts a following step only if its staleness limit allows it', async () => {
		const entry = world.createEntry('entry-0');
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(50);
		const strict = profileSchema.parse({
			class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 0},
		});
		const next = await openHere(entry, createRequest({id: 'step-2'}));
		await openHere(entry, createRequest({id: 'step-3', profile: strict}));
		world.endpoints.treat = ({id}) => id.startsWith('step-1/') ? 'hang' : undefined;
		expect(world.endpoints.running).to.equal(24);
		await clock.tickAsync(500);
		expect(next.describe().ready).to.equal(12);
		const last = await locateHere(entry, {}, 'step-3');
		await clock.tickAsync(5000);
		expect(last.describe().ready).to.equal(0);
		const ahead = new FakeTrainer();
		void ahead.pull(entry.runner, last);
		await clock.tickAsync(500);
		expect(ahead.isWhole).to.be.true;
	});

	it('measures age in seconds since the version of the oldest part was superseded', async () => {
		const entry = world.createEntry('entry-0');
		const profile = profileSchema.parse({
			class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 5, seconds: 10},
		});
		const step = await openHere(entry, createRequest({profile}));
		await clock.tickAsync(500);
		world.endpoints.version = 2;
		trainer.version = 2;
		trainer.loses = 1;
		await trainer.pull(entry.runner, step);
		await clock.tickAsync(11_000);
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(500);
		expect([trainer.isWhole, world.endpoints.generated]).to.deep.equal([true, 24]);
	});

	it('records each version that generated a part', async () => {
		const entry = world.createEntry('entry-0');
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(60);
		world.endpoints.version = 2;
		await clock.tickAsync(500);
		expect(trainer.received.get('step-1/0/0')!.versions).to.deep.equal([{version: 1, from: 0, to: 1}, {version: 2, from: 1, to: 2}]);
	});

	it('redraws crashed samples, and reports samples that cannot be made', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.crashes = 3;
		world.endpoints.treat = ({id}) => id.startsWith('step-1/1/0#') ? createProblem('quarantined', 'crashes endpoints', 'no') : undefined;
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(2000);
		expect([trainer.received.size, trainer.failed, trainer.isWhole]).to.deep.equal([11, ['step-1/1/0'], true]);
	});

	it('uses the first of two attempts to finish and cancels the other', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.idle = [{id: 'idle', slots: 8, speed: 0.02}];
		world.endpoints.treat = ({id}) => id.startsWith('step-1/0/0#') && id.endsWith('-1') ? 'hang' : undefined;
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(2000);
		expect([trainer.isWhole, trainer.received.get('step-1/0/0')!.attempt, world.endpoints.running]).to.deep.equal([true, 2, 0]);
	});

	it('scores each sample once before delivery, and recovers a lost answer under the same key', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.lostScores = 1;
		void trainer.pull(entry.runner, await openHere(entry, createRequest({profile: scoredProfile})));
		await clock.tickAsync(1000);
		expect([...trainer.received.values()].every(({score}) => score && 'value' in score && score.value === 0.5)).to.be.true;
		expect([...world.endpoints.scored.values()].toSorted((a, b) => a - b)).to.deep.equal([...Array.from({length: 11}, () => 1), 2]);
	});

	it('delivers samples without a score, with the reason, when the scorer takes too long', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.treat = ({work, deadlineAt}) => work.kind === 'forward' && deadlineAt > 0 ? createProblem('overloaded', 'the scorer is full', 'no') : undefined;
		void trainer.pull(entry.runner, await openHere(entry, createRequest({profile: scoredProfile})));
		await clock.tickAsync(500);
		expect(trainer.received.size).to.equal(0);
		await clock.tickAsync(200);
		expect([...trainer.received.values()].map(({score}) => score)).to.deep.equal(Array.from({length: 12}, () => ({missing: 'the scorer is full'})));
	});

	it('measures idle time and staleness', async () => {
		const entry = world.createEntry('entry-0');
		void trainer.pull(entry.runner, await openHere(entry));
		await clock.tickAsync(500);
		const metrics = await entry.registry.metrics();
		expect(metrics).to.contain('wasabiusher_trainer_idle_seconds_sum 0.1');
		expect(metrics).to.contain('wasabiusher_sample_staleness_versions_count 12');
	});

	it('counts trainers\' time and samples discarded as stale for the objectives', async () => {
		const entry = world.createEntry('entry-0');
		const step = await openHere(entry);
		await clock.tickAsync(200);
		world.endpoints.version = 3;
		trainer.version = 3;
		void trainer.pull(entry.runner, step);
		await clock.tickAsync(100);
		const next = await openHere(entry, createRequest({id: 'step-2'}));
		await clock.tickAsync(2000);
		void new FakeTrainer().pull(entry.runner, next);
		await clock.tickAsync(1000);
		expect(world.objectives.fresh).to.deep.equal([24, 12]);
		// The trainer waits for 100 ms, is busy with the first step for 2 s, and then finds the second one ready.
		expect(world.objectives.trainerBusy.map(ms => Math.round(ms))).to.deep.equal([2700, 100]);
	});

	it('counts no time of a trainer that disconnected', async () => {
		const entry = world.createEntry('entry-0');
		world.endpoints.treat = () => 'hang';
		const disconnect = new AbortController();
		void trainer.pull(entry.runner, await openHere(entry), disconnect.signal);
		await clock.tickAsync(300);
		disconnect.abort();
		await clock.tickAsync(5000);
		expect(world.objectives.trainerBusy.map(ms => Math.round(ms))).to.deep.equal([0, 300]);
	});

	it('finishes running attempts and releases the step when its entry shuts down', async () => {
		const [first, second] = [world.createEntry('entry-0'), world.createEntry('entry-1')];
		const step = await openHere(first);
		const pulling = trainer.pull(first.runner, step);
		await clock.tickAsync(20);
		const draining = first.runner.drain(5000);
		await clock.tickAsync(1000);
		await Promise.all([draining, pulling]);
		const refused = await first.runner.locate('step-1');
		expect(refused.kind === 'refused' && refused.problem.kind).to.equal('unavailable');
		expect(world.endpoints.generated).to.equal(12);
		void trainer.pull(second.runner, await locateHere(second));
		await clock.tickAsync(10);
		expect([trainer.isWhole, world.endpoints.generated]).to.deep.equal([true, 12]);
	});

	it('drops a step that another entry owns and that no trainer pulls here', async () => {
		const [first, second] = [world.createEntry('entry-0'), world.createEntry('entry-1')];
		await openHere(first);
		await clock.tickAsync(10);
		await locateHere(second, {isOwnerGone: true});
		await clock.tickAsync(10_000);
		expect([first.runner.openSteps, second.runner.openSteps]).to.deep.equal([1, 0]);
	});

	it('delivers each sample exactly once and fresh under random failures', async () => {
		const act = fc.record({
			kind: fc.constantFrom('pull', 'lose', 'kill', 'version', 'fault', 'standing', 'crash', 'ack'),
			at: fc.integer({min: 0, max: 2}),
			fault: fc.constantFrom<Fault>('none', 'lost-after', 'lost-before', 'down'),
			passMs: fc.constantFrom(0, 60, 400, 3000, 9000),
		});
		await fc.assert(fc.asyncProperty(fc.array(act, {maxLength: 20}), async acts => {
			const randomWorld = new World();
			const entries = ['entry-0', 'entry-1', 'entry-2'].map(name => randomWorld.createEntry(name));
			const consumer = new FakeTrainer();
			let disconnect = new AbortController();
			const pull = async (at: number) => {
				disconnect.abort();
				disconnect = new AbortController();
				const {signal} = disconnect;
				const {runner} = entries[at]!;
				let placement = await runner.open(createRequest());
				if (placement.kind === 'elsewhere') {
					const owner = entries.find((_, index) => `entry-${index}` === (placement.kind === 'elsewhere' ? placement.address : ''));
					placement = await (owner && !dead.has(owner) ? owner.runner.locate('step-1', {isOwnerGone: true}) : runner.open(createRequest(), {isOwnerGone: true}));
					if (placement.kind === 'here' && owner && !dead.has(owner) && !signal.aborted) {
						await consumer.pull(owner.runner, placement.step, signal);
					} else if (placement.kind === 'here' && !signal.aborted) {
						await consumer.pull(runner, placement.step, signal);
					}
				} else if (placement.kind === 'here' && !signal.aborted) {
					await consumer.pull(runner, placement.step, signal);
				}
			};

			const dead = new Set<(typeof entries)[number]>();
			const handlers: Record<string, (parameters: {at: number; fault: Fault}) => void> = {
				pull({at}) {
					void pull(at);
				},
				lose({at}) {
					consumer.loses = at;
				},
				kill({at}) {
					entries[at]!.kill();
					dead.add(entries[at]!);
					entries[at] = randomWorld.createEntry(`entry-${at}`);
				},
				version() {
					randomWorld.endpoints.version += 1;
					consumer.version = randomWorld.endpoints.version;
				},
				fault({fault}) {
					randomWorld.faults.next = [fault, fault];
				},
				standing({fault}) {
					randomWorld.faults.standing = fault === 'down' ? 'down' : 'none';
				},
				crash({at}) {
					randomWorld.endpoints.crashes = at;
				},
				ack({at}) {
					void entries[at]!.runner.locate('step-1').then(placement => {
						if (placement.kind === 'here') {
							entries[at]!.runner.acknowledge(placement.step, [...consumer.received.keys()]);
						}
					});
				},
			};
			for (const {kind, at, fault, passMs} of acts) {
				handlers[kind]!({at, fault});
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(passMs);
			}

			randomWorld.faults.standing = 'none';
			randomWorld.faults.next = [];
			for (let i = 0; i < 12 && !consumer.isWhole; i += 1) {
				consumer.loses = 0;
				void pull(i % 3);
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(5000);
			}

			expect([consumer.received.size, consumer.isWhole]).to.deep.equal([12, true]);
			for (const {registry} of randomWorld.entries) {
				// eslint-disable-next-line no-await-in-loop
				expect(await registry.metrics()).not.to.match(/invariant_broken_total\{.*\} [1-9]/v);
			}

			randomWorld.stop();
		}), {numRuns: 100, seed: 1});
	});
});
