import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {BatchError, type SampleResult} from '../src/index.js';
import {
	createSubmission, createWorld, tickUntilDone, type Process, type World,
} from './fixtures.js';

async function catchCode(work: Promise<unknown>): Promise<string> {
	try {
		await work;
	} catch (error) {
		return error instanceof BatchError ? error.code : `not a BatchError: ${String(error)}`;
	}

	return 'none';
}

describe('Batches', () => {
	let clock: Clock;
	let world: World;
	let processes: Process[];

	function createProcesses(...hosts: string[]): Process[] {
		const created = hosts.map(host => world.createProcess(host));
		processes.push(...created);
		return created;
	}

	async function settle<Result>(work: Promise<Result>): Promise<Result> {
		return tickUntilDone(clock, work);
	}

	async function readAll(process: Process, id: string): Promise<SampleResult[]> {
		const {results} = await settle(process.batches.read(id, 0, 0));
		return results;
	}

	/** Sets the time for each event of a run, in milliseconds, and how many a whole run has. */
	function paceRuns(eventMs: number, events?: number): void {
		for (const {switches} of world.serving.endpoints.values()) {
			switches.eventMs = eventMs;
			switches.events = events ?? switches.events;
		}
	}

	beforeEach(() => {
		clock = install();
		world = createWorld();
		processes = [];
	});

	afterEach(() => {
		for (const process of processes) {
			process.kill();
		}

		clock.uninstall();
	});

	it('makes all samples and shows each at one position, at every process', async () => {
		const [a, b] = createProcesses('a', 'b');
		await settle(a!.batches.submit('1', createSubmission(6)));
		await clock.tickAsync(2000);
		const results = await readAll(a!, '1');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1', 's2', 's3', 's4', 's5']);
		expect(results[0]!.text.split('\n')).to.have.length(5);
		expect(results.every(({state, versions}) => state === 'made' && versions.join(',') === '1')).to.equal(true);
		expect(await readAll(b!, '1')).to.deep.equal(results);
	});

	it('tells every process what of a model waits to begin: all of a step that has just come, then what its owner says', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(700);
		await clock.tickAsync(500);
		await settle(a!.batches.submit('1', createSubmission(12)));
		await clock.tickAsync(200);
		expect(b!.batches.countWaiting('m')).to.be.at.least(12);
		await clock.tickAsync(1300);
		expect([a!.batches.listWaiting(), b!.batches.countWaiting('m'), b!.batches.countWaiting('n')]).to.deep.equal([{m: 4}, 4, 0]);
		await clock.tickAsync(20_000);
		expect([a!.batches.listWaiting(), b!.batches.countWaiting('m')]).to.deep.equal([{}, 0]);
	});

	it('accepts a batch once, whoever it is handed to again', async () => {
		const [a, b] = createProcesses('a', 'b');
		await settle(a!.batches.submit('1', createSubmission(2)));
		await settle(b!.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(2000);
		expect([...world.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(2);
	});

	it('accepts a batch whose first answer of the store was lost, and runs it once', async () => {
		const [a] = createProcesses('a');
		await clock.tickAsync(100);
		a!.store.switches.answersToLose = 1;
		expect(await catchCode(settle(a!.batches.submit('1', createSubmission(2))))).to.equal('none');
		await clock.tickAsync(2000);
		expect(await readAll(a!, '1')).to.have.length(2);
	});

	it('gives a trainer\'s next batch to the process that ran the last one, whoever accepts it, while that one lives', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(800);

		await clock.tickAsync(500);
		await settle(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(500);
		await settle(b!.batches.submit('2', createSubmission(1)));
		await settle(b!.batches.submit('3', createSubmission(1, {path: '/steps/other/x'})));
		await clock.tickAsync(500);
		expect([a!.batches.ownedCount, b!.batches.ownedCount]).to.deep.equal([2, 1]);
		a!.kill();
		await clock.tickAsync(1000);
		await settle(b!.batches.submit('4', createSubmission(1)));
		await clock.tickAsync(100);
		expect(b!.batches.ownedCount).to.equal(2);
	});

	it('says that a batch was not accepted while the store is down, and runs nothing of it', async () => {
		const [a] = createProcesses('a');
		await clock.tickAsync(100);
		a!.store.switches.isDown = true;
		expect(await catchCode(settle(a!.batches.submit('1', createSubmission(2))))).to.equal('unavailable');
		a!.store.switches.isDown = false;
		await clock.tickAsync(5000);
		expect([...world.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(0);
	});

	it('never says that a batch is missing while it can not ask the store', async () => {
		const [a, b] = createProcesses('a', 'b');
		b!.store.switches.isDown = true;
		await settle(a!.batches.submit('1', createSubmission(2)));
		expect(await catchCode(settle(b!.batches.read('1', 0, 0)))).to.equal('unavailable');
		expect(await catchCode(settle(b!.batches.read('nothing', 0, 0)))).to.equal('unavailable');
		expect(await catchCode(settle(a!.batches.read('nothing', 0, 0)))).to.equal('missing');
	});

	it('goes on at another process when the owner dies, with every position as it was read', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(150);

		await settle(a!.batches.submit('1', createSubmission(12)));
		await clock.tickAsync(1000);
		const before = await readAll(a!, '1');
		expect(before.length).to.be.within(1, 11);
		a!.kill();
		await clock.tickAsync(10_000);
		const after = await readAll(b!, '1');
		expect(after.slice(0, before.length)).to.deep.equal(before);
		expect(new Set(after.map(({id}) => id)).size).to.equal(12);
		expect(after).to.have.length(12);
	});

	it('takes nothing over while the store takes no heartbeats though its feed goes on, and does once it takes them', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(800, 20);

		await settle(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(1000);
		a!.store.switches.downParts = new Set(['']);
		b!.store.switches.downParts = new Set(['']);
		await clock.tickAsync(5000);
		expect([a!.batches.ownedCount, b!.batches.ownedCount]).to.deep.equal([1, 0]);
		// Each take-over would have begun a run.
		expect([...world.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(1);
		b!.store.switches.downParts = new Set();
		a!.kill();
		await clock.tickAsync(3000);
		expect(b!.batches.ownedCount).to.equal(1);
	});

	it('takes over at once what an earlier start of its host owned, though heartbeats can not be read', async () => {
		const [a] = createProcesses('a');
		paceRuns(800, 20);

		await settle(a!.batches.submit('1', createSubmission(1)));
		a!.kill();
		const again = world.createProcess('a', {downParts: new Set([''])});
		processes.push(again);
		await clock.tickAsync(600);
		expect(again.batches.ownedCount).to.equal(1);
	});

	it('takes a batch over at once when its owner leaves, and goes on after the events that it had', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(100, 20);

		await settle(a!.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(1000);
		await settle(a!.batches.handOver());
		await clock.tickAsync(1600);
		const results = await readAll(b!, '1');
		expect(results).to.have.length(2);
		expect(results[0]!.text.split('\n')).to.have.length(20);
		const resumed = [...world.serving.endpoints.values()].flatMap(({runs}) => runs).filter(({resumeAfter}) => resumeAfter !== undefined);
		expect(resumed).to.have.length(2);
	});

	it('writes nothing more after another process has taken the batch over while it was cut off', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(700);

		await settle(a!.batches.submit('1', createSubmission(4)));
		await clock.tickAsync(1000);
		a!.store.switches.isDown = true;
		await clock.tickAsync(4000);
		a!.store.switches.isDown = false;
		await clock.tickAsync(8000);
		const results = await readAll(b!, '1');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1', 's2', 's3']);
		expect(await readAll(a!, '1')).to.deep.equal(results);
	});

	it('keeps positions when a commit is performed late, after its answer was given up', async () => {
		const [a] = createProcesses('a');
		world.serving.endpoints.get('e0')!.switches.eventMs = 50;
		await settle(a!.batches.submit('1', createSubmission(8)));
		a!.store.switches.writesToDelay = 2;
		a!.store.switches.lateMs = 400;
		const seen: SampleResult[] = [];
		for (let i = 0; i < 30; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
			// eslint-disable-next-line no-await-in-loop
			const results = await readAll(a!, '1');
			expect(results.slice(0, seen.length)).to.deep.equal(seen);
			seen.splice(0, seen.length, ...results);
		}

		expect(new Set(seen.map(({id}) => id)).size).to.equal(8);
		expect(seen).to.have.length(8);
	});

	it('runs nothing more of a batch that was ended at another process', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(400);

		await settle(a!.batches.submit('1', createSubmission(30)));
		await clock.tickAsync(500);
		await settle(b!.batches.end('1'));
		await clock.tickAsync(100);
		const before = [...world.serving.endpoints.values()].flatMap(({runs}) => runs).length;
		await clock.tickAsync(10_000);
		expect([...world.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(before);
		expect(await catchCode(settle(a!.batches.end('1')))).to.equal('none');
	});

	it('goes on in the next batch with texts of groups that were not whole, at another process', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(100, 50);

		await settle(a!.batches.submit('1', createSubmission(2, {step: 1})));
		await clock.tickAsync(1500);
		await settle(b!.batches.end('1'));
		await clock.tickAsync(1000);
		await settle(b!.batches.submit('2', createSubmission(4, {step: 2})));
		await clock.tickAsync(3000);
		const results = await readAll(b!, '2');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1']);
		expect(results[0]!.text.split('\n')).to.have.length(50);
		const resumed = [...world.serving.endpoints.values()].flatMap(({runs}) => runs).flatMap(({resumeAfter}) => resumeAfter ?? []);
		expect(resumed.filter(event => event > 20)).to.have.length(2);
	});

	it('keeps the text of a run that breaks after the end of its batch', async () => {
		const [a] = createProcesses('a');
		paceRuns(100, 50);

		await settle(a!.batches.submit('1', createSubmission(1, {step: 1})));
		await clock.tickAsync(1500);
		await settle(a!.batches.end('1'));
		for (const {switches} of world.serving.endpoints.values()) {
			switches.isDown = true;
		}

		await clock.tickAsync(300);
		for (const {switches} of world.serving.endpoints.values()) {
			switches.isDown = false;
		}

		await clock.tickAsync(1500);
		await settle(a!.batches.submit('2', createSubmission(2, {step: 2, path: '/steps/y'})));
		await clock.tickAsync(1000);
		const resumed = [...world.serving.endpoints.values()].flatMap(({runs}) => runs).flatMap(({resumeAfter}) => resumeAfter ?? []);
		expect(resumed.filter(event => event > 10)).to.have.length(1);
	});

	it('does not use a kept text that was made by weights too old for the next batch', async () => {
		const [a] = createProcesses('a');
		paceRuns(100, 50);

		await settle(a!.batches.submit('1', createSubmission(1, {step: 1})));
		await clock.tickAsync(1500);
		await settle(a!.batches.end('1'));
		for (const endpoint of world.serving.endpoints.values()) {
			endpoint.version = 2;
			a!.directory.recordVersion(endpoint.id, 'm', 2);
		}

		await settle(a!.batches.submit('2', createSubmission(2, {step: 2, leastVersion: 2, path: '/steps/y'})));
		await clock.tickAsync(8000);
		const results = await readAll(a!, '2');
		expect(results.map(({versions}) => versions.join(','))).to.deep.equal(['2', '2']);
		expect(results[0]!.text.split('\n')).to.have.length(50);
	});

	it('begins long texts a second time under newer weights, and the next batch that allows only those goes on with them', async () => {
		const [a] = createProcesses('a');
		paceRuns(40, 195);

		await settle(a!.batches.submit('1', createSubmission(2, {step: 1, leastVersion: 1, wantedGroups: 1})));
		await clock.tickAsync(4000);
		world.deployment.published = 2;
		for (const endpoint of world.serving.endpoints.values()) {
			endpoint.version = 2;
			a!.directory.recordVersion(endpoint.id, 'm', 2);
		}

		await clock.tickAsync(2500);
		await settle(a!.batches.end('1'));
		await clock.tickAsync(1000);
		await settle(a!.batches.submit('2', createSubmission(4, {step: 3, leastVersion: 2})));
		// Made anew they would take 7.8 s, as the two others do.
		await clock.tickAsync(5000);
		const results = await readAll(a!, '2');
		expect(results.map(({id, versions, text}) => [id, versions.join(','), text.split('\n').length])).to.deep.equal([['s0', '2', 195], ['s1', '2', 195]]);
	});

	it('begins no text a second time before the versions that the earlier batches will bring', async () => {
		world = createWorld(4);
		const [a] = createProcesses('a');
		paceRuns(40, 195);

		await settle(a!.batches.submit('1', createSubmission(1, {step: 1, wantedGroups: 1})));
		await clock.tickAsync(50);
		const later = createSubmission(2, {step: 2, wantedGroups: 1});
		await settle(a!.batches.submit('2', {...later, samples: later.samples.map(sample => ({...sample, id: `t${sample.id}`}))}));
		world.deployment.published = 2;
		await clock.tickAsync(4000);
		const runs = () => [...world.serving.endpoints.values()].flatMap(endpoint => endpoint.runs).length;
		expect(runs()).to.equal(3);
		world.deployment.published = 3;
		for (const endpoint of world.serving.endpoints.values()) {
			endpoint.version = 3;
			a!.directory.recordVersion(endpoint.id, 'm', 3);
		}

		await clock.tickAsync(500);
		expect(runs()).to.equal(5);
	});

	it('shows nothing that the store does not have yet', async () => {
		const [a, b] = createProcesses('a', 'b');
		await settle(a!.batches.submit('1', createSubmission(2)));
		a!.store.switches.isDown = true;
		await clock.tickAsync(1500);
		expect(await readAll(a!, '1')).to.have.length(0);
		expect(await readAll(b!, '1')).to.have.length(0);
		a!.store.switches.isDown = false;
		await clock.tickAsync(2000);
		expect(await readAll(b!, '1')).to.have.length(2);
	});

	it('gives a sample up after as many failures as its route allows, not before', async () => {
		const [a] = createProcesses('a');
		for (const {switches} of world.serving.endpoints.values()) {
			switches.status = 500;
		}

		await settle(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(3000);
		const results = await readAll(a!, '1');
		expect(results.map(({state}) => state)).to.deep.equal(['abandoned']);
		expect([...world.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(3);
	});

	it('lists a sample only with its score, asked once its text was whole', async () => {
		const [a] = createProcesses('a');
		const scorer = world.serving.endpoints.get('scorer')!;
		scorer.switches.answersToLose = 1;
		const submission = createSubmission(1);
		submission.samples[0]!.score = {
			id: 'k', host: 'h', path: '/scores/k', body: 'AAAA',
		};
		await settle(a!.batches.submit('1', submission));
		await clock.tickAsync(3000);
		const [result] = await readAll(a!, '1');
		expect(result!.score).to.equal('sc/k');
		expect(scorer.runs).to.have.length(2);
	});

	it('removes ended batches and kept texts once nobody reads them, and nothing else', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(100, 50);

		await settle(a!.batches.submit('1', createSubmission(2, {step: 1})));
		await settle(a!.batches.submit('2', createSubmission(1, {step: 1, path: '/steps/y'})));
		await clock.tickAsync(1000);
		await settle(a!.batches.end('1'));
		await clock.tickAsync(30_000);
		await settle(b!.batches.sweep(60_000));
		expect(await catchCode(settle(b!.batches.read('1', 0, 0)))).to.equal('none');
		await clock.tickAsync(60_000);
		await settle(b!.batches.sweep(60_000));
		expect(await catchCode(settle(a!.batches.read('1', 0, 0)))).to.equal('missing');
		expect(await readAll(b!, '2')).to.have.length(1);
		const parts = await Promise.all(['b0', 'b1', 'b2', 'b3'].flatMap(part => ['batch-submissions', 'kept-texts', 'batch-texts'].map(async table => {
			const {rows} = await world.root.read({table, part});
			return rows.map(({key}) => key.split('/')[0]);
		})));
		expect(new Set(parts.flat())).to.deep.equal(new Set(['2']));
	});

	it('tells at every process what the last steps of each model asked for', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(800);
		await clock.tickAsync(100);
		const samples = [90, 30, undefined].map((expectedTokens, i) => ({
			id: `s${i}`, path: '/steps/s', headers: {}, body: 'AAAA', group: `g${i}`, expectedTokens,
		}));
		await settle(a!.batches.submit('1', createSubmission(3, {samples})));
		await settle(b!.batches.submit('2', createSubmission(1, {model: 'other'})));
		await clock.tickAsync(500);
		expect([a, b].map(process => [...process!.batches.listNeeds()])).to.deep.equal(Array.from({length: 2}, () => [
			['m', {work: 121, longest: 90}], ['other', {work: 1, longest: 1}],
		]));
		await clock.tickAsync(21_000);
		expect(a!.batches.listNeeds().size).to.equal(0);
	});

	it('shows a result within 0.1 s to a trainer that waits at a process that does not own its batch', async () => {
		const [a, b] = createProcesses('a', 'b');
		paceRuns(100, 5);
		await clock.tickAsync(100);
		await settle(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(150);
		const seenAt = new Map<string, number>();
		await Promise.all([a!, b!].map(async process => {
			const {results} = await settle(process.batches.read('1', 0, 1000));
			expect(results).to.have.length(1);
			seenAt.set(process === a ? 'owner' : 'other', performance.now());
		}));
		expect(seenAt.get('other')! - seenAt.get('owner')!).to.be.below(100);
	});

	it('gives the body of a sample at any process', async () => {
		const [a, b] = createProcesses('a', 'b');
		await settle(a!.batches.submit('1', createSubmission(1)));
		for (const process of [a!, b!]) {
			// eslint-disable-next-line no-await-in-loop
			expect([...await settle(process.batches.readBody('1', 's0'))]).to.deep.equal([0, 0, 0]);
		}

		expect(await catchCode(settle(b!.batches.readBody('1', 'nothing')))).to.equal('missing');
	});
});
