import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {BatchError, type SampleResult} from '../src/index.js';
import {
	createSubmission, createCluster, tickUntilDone, type Process, type Cluster,
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
	let cluster: Cluster;
	let processes: Process[];

	function createProcesses(...hosts: string[]): Process[] {
		const created = hosts.map(host => cluster.createProcess(host));
		processes.push(...created);
		return created;
	}

	async function waitFor<Result>(work: Promise<Result>): Promise<Result> {
		return tickUntilDone(clock, work);
	}

	async function readAll(process: Process, id: string): Promise<SampleResult[]> {
		const {results} = await waitFor(process.batches.read(id, 0, 0));
		return results;
	}

	/** Sets the time for each event of a run, in milliseconds, and the number of events of a complete run. */
	function setRunSpeed(eventMs: number, events?: number): void {
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.eventMs = eventMs;
			switches.events = events ?? switches.events;
		}
	}

	beforeEach(() => {
		clock = install();
		cluster = createCluster();
		processes = [];
	});

	afterEach(() => {
		for (const process of processes) {
			process.kill();
		}

		clock.uninstall();
	});

	it('generates all samples and returns each at the same position on every process', async () => {
		const [a, b] = createProcesses('a', 'b');
		await waitFor(a!.batches.submit('1', createSubmission(6)));
		await clock.tickAsync(2000);
		const results = await readAll(a!, '1');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1', 's2', 's3', 's4', 's5']);
		expect(results[0]!.text.split('\n')).to.have.length(5);
		expect(results.every(({state, versions}) => state === 'made' && versions.join(',') === '1')).to.equal(true);
		expect(await readAll(b!, '1')).to.deep.equal(results);
	});

	it('generates samples again whose generation failed by an error of the process', async () => {
		const [a] = createProcesses('a');
		const {directory} = a!;
		const acquire = directory.acquire.bind(directory);
		let isBroken = false;
		directory.acquire = requirement => {
			if (isBroken) {
				throw new Error('a fault of this process');
			}

			return acquire(requirement);
		};

		setRunSpeed(40, 10);
		await waitFor(a!.batches.submit('1', createSubmission(4)));
		await clock.tickAsync(200);
		isBroken = true;
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.breakAfter = 2;
		}

		await clock.tickAsync(500);
		isBroken = false;
		await clock.tickAsync(3000);
		const results = await readAll(a!, '1');
		expect(results.filter(({state}) => state === 'made')).to.have.length(4);
	});

	it('counts waiting samples of a model on every process: all samples of a new batch at first, then what its owner reports', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(700);
		await clock.tickAsync(500);
		await waitFor(a!.batches.submit('1', createSubmission(12)));
		await clock.tickAsync(200);
		expect(b!.batches.countWaiting('m')).to.be.at.least(12);
		await clock.tickAsync(1300);
		expect([a!.batches.listWaiting(), b!.batches.countWaiting('m'), b!.batches.countWaiting('n')]).to.deep.equal([{m: 4}, 4, 0]);
		await clock.tickAsync(20_000);
		expect([a!.batches.listWaiting(), b!.batches.countWaiting('m')]).to.deep.equal([{}, 0]);
	});

	it('accepts a batch once, even if it is submitted again to another process', async () => {
		const [a, b] = createProcesses('a', 'b');
		await waitFor(a!.batches.submit('1', createSubmission(2)));
		await waitFor(b!.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(2000);
		expect([...cluster.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(2);
	});

	it('accepts a batch if the store\'s first answer is lost, and runs it once', async () => {
		const [a] = createProcesses('a');
		await clock.tickAsync(100);
		a!.store.switches.answersToLose = 1;
		expect(await catchCode(waitFor(a!.batches.submit('1', createSubmission(2))))).to.equal('none');
		await clock.tickAsync(2000);
		expect(await readAll(a!, '1')).to.have.length(2);
	});

	it('assigns a trainer\'s next batch to the process that ran its last one, whichever accepts it, while that process is alive', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(800);

		await clock.tickAsync(500);
		await waitFor(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(500);
		await waitFor(b!.batches.submit('2', createSubmission(1)));
		await waitFor(b!.batches.submit('3', createSubmission(1, {path: '/steps/other/x'})));
		await clock.tickAsync(500);
		expect([a!.batches.ownedCount, b!.batches.ownedCount]).to.deep.equal([2, 1]);
		a!.kill();
		await clock.tickAsync(1000);
		await waitFor(b!.batches.submit('4', createSubmission(1)));
		await clock.tickAsync(100);
		expect(b!.batches.ownedCount).to.equal(2);
	});

	it('rejects a batch as unavailable while the store is down, and runs none of its samples', async () => {
		const [a] = createProcesses('a');
		await clock.tickAsync(100);
		a!.store.switches.isDown = true;
		expect(await catchCode(waitFor(a!.batches.submit('1', createSubmission(2))))).to.equal('unavailable');
		a!.store.switches.isDown = false;
		await clock.tickAsync(5000);
		expect([...cluster.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(0);
	});

	it('refuses a batch for which there is no memory, runs none of it, and accepts it once another has ended', async () => {
		const process = cluster.createProcess('a', {}, {maxSubmissionBytes: 3500});
		processes.push(process);
		setRunSpeed(1000);
		await waitFor(process.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(100);
		expect(await waitFor(catchCode(process.batches.submit('2', createSubmission(2, {path: '/steps/2'}))))).to.equal('no-room');
		expect(await waitFor(catchCode(process.batches.submit('1', createSubmission(2))))).to.equal('none');
		expect(await waitFor(catchCode(process.batches.read('2', 0, 0)))).to.equal('missing');
		await waitFor(process.batches.end('1'));
		await waitFor(process.batches.submit('2', createSubmission(2, {path: '/steps/2'})));
	});

	it('does not report a batch as missing while it can not reach the store', async () => {
		const [a, b] = createProcesses('a', 'b');
		b!.store.switches.isDown = true;
		await waitFor(a!.batches.submit('1', createSubmission(2)));
		expect(await catchCode(waitFor(b!.batches.read('1', 0, 0)))).to.equal('unavailable');
		expect(await catchCode(waitFor(b!.batches.read('nothing', 0, 0)))).to.equal('unavailable');
		expect(await catchCode(waitFor(a!.batches.read('nothing', 0, 0)))).to.equal('missing');
	});

	it('continues on another process when the owner is killed, and keeps the positions of results that were read', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(150);

		await waitFor(a!.batches.submit('1', createSubmission(12)));
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

	it('takes nothing over while the store refuses heartbeats but its feed works, and takes over once heartbeats are accepted', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(800, 20);

		await waitFor(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(1000);
		a!.store.switches.downParts = new Set(['']);
		b!.store.switches.downParts = new Set(['']);
		await clock.tickAsync(5000);
		expect([a!.batches.ownedCount, b!.batches.ownedCount]).to.deep.equal([1, 0]);
		// Each takeover would have started a run.
		expect([...cluster.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(1);
		b!.store.switches.downParts = new Set();
		a!.kill();
		await clock.tickAsync(3000);
		expect(b!.batches.ownedCount).to.equal(1);
	});

	it('takes over the shares of an earlier process of its host at once, even if heartbeats can not be read', async () => {
		const [a] = createProcesses('a');
		setRunSpeed(800, 20);

		await waitFor(a!.batches.submit('1', createSubmission(1)));
		a!.kill();
		const again = cluster.createProcess('a', {downParts: new Set([''])});
		processes.push(again);
		await clock.tickAsync(600);
		expect(again.batches.ownedCount).to.equal(1);
	});

	it('takes a batch over at once when its owner leaves, and resumes texts after their last event', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(100, 20);

		await waitFor(a!.batches.submit('1', createSubmission(2)));
		await clock.tickAsync(1000);
		await waitFor(a!.batches.handOver());
		await clock.tickAsync(1600);
		const results = await readAll(b!, '1');
		expect(results).to.have.length(2);
		expect(results[0]!.text.split('\n')).to.have.length(20);
		const resumed = [...cluster.serving.endpoints.values()].flatMap(({runs}) => runs).filter(({resumeAfter}) => resumeAfter !== undefined);
		expect(resumed).to.have.length(2);
	});

	it('writes nothing after another process has taken the batch over during a disconnection', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(700);

		await waitFor(a!.batches.submit('1', createSubmission(4)));
		await clock.tickAsync(1000);
		a!.store.switches.isDown = true;
		await clock.tickAsync(4000);
		a!.store.switches.isDown = false;
		await clock.tickAsync(8000);
		const results = await readAll(b!, '1');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1', 's2', 's3']);
		expect(await readAll(a!, '1')).to.deep.equal(results);
	});

	it('keeps positions if the store performs a commit after the request has timed out', async () => {
		const [a] = createProcesses('a');
		cluster.serving.endpoints.get('e0')!.switches.eventMs = 50;
		await waitFor(a!.batches.submit('1', createSubmission(8)));
		a!.store.switches.writesToDelay = 2;
		a!.store.switches.lateMs = 400;
		const known: SampleResult[] = [];
		for (let i = 0; i < 30; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
			// eslint-disable-next-line no-await-in-loop
			const results = await readAll(a!, '1');
			expect(results.slice(0, known.length)).to.deep.equal(known);
			known.splice(0, known.length, ...results);
		}

		expect(new Set(known.map(({id}) => id)).size).to.equal(8);
		expect(known).to.have.length(8);
	});

	it('stops the runs of a batch that was ended on another process', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(400);

		await waitFor(a!.batches.submit('1', createSubmission(30)));
		await clock.tickAsync(500);
		await waitFor(b!.batches.end('1'));
		await clock.tickAsync(100);
		const before = [...cluster.serving.endpoints.values()].flatMap(({runs}) => runs).length;
		await clock.tickAsync(10_000);
		expect([...cluster.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(before);
		expect(await catchCode(waitFor(a!.batches.end('1')))).to.equal('none');
	});

	it('resumes texts of incomplete groups in the next batch, on another process', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(100, 50);

		await waitFor(a!.batches.submit('1', createSubmission(2, {step: 1})));
		await clock.tickAsync(1500);
		await waitFor(b!.batches.end('1'));
		await clock.tickAsync(1000);
		await waitFor(b!.batches.submit('2', createSubmission(4, {step: 2})));
		await clock.tickAsync(3000);
		const results = await readAll(b!, '2');
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(['s0', 's1']);
		expect(results[0]!.text.split('\n')).to.have.length(50);
		const resumed = [...cluster.serving.endpoints.values()].flatMap(({runs}) => runs).flatMap(({resumeAfter}) => resumeAfter ?? []);
		expect(resumed.filter(event => event > 20)).to.have.length(2);
	});

	it('retains the text of a run that fails after the end of its batch', async () => {
		const [a] = createProcesses('a');
		setRunSpeed(100, 50);

		await waitFor(a!.batches.submit('1', createSubmission(1, {step: 1})));
		await clock.tickAsync(1500);
		await waitFor(a!.batches.end('1'));
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.isDown = true;
		}

		await clock.tickAsync(300);
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.isDown = false;
		}

		await clock.tickAsync(1500);
		await waitFor(a!.batches.submit('2', createSubmission(2, {step: 2, path: '/steps/y'})));
		await clock.tickAsync(1000);
		const resumed = [...cluster.serving.endpoints.values()].flatMap(({runs}) => runs).flatMap(({resumeAfter}) => resumeAfter ?? []);
		expect(resumed.filter(event => event > 10)).to.have.length(1);
	});

	it('does not resume a retained text whose weights are too old for the next batch', async () => {
		const [a] = createProcesses('a');
		setRunSpeed(100, 50);

		await waitFor(a!.batches.submit('1', createSubmission(1, {step: 1})));
		await clock.tickAsync(1500);
		await waitFor(a!.batches.end('1'));
		for (const endpoint of cluster.serving.endpoints.values()) {
			endpoint.version = 2;
			a!.directory.recordVersion(endpoint.id, 'm', 2);
		}

		await waitFor(a!.batches.submit('2', createSubmission(2, {step: 2, leastVersion: 2, path: '/steps/y'})));
		await clock.tickAsync(8000);
		const results = await readAll(a!, '2');
		expect(results.map(({versions}) => versions.join(','))).to.deep.equal(['2', '2']);
		expect(results[0]!.text.split('\n')).to.have.length(50);
	});

	it('regenerates long texts under newer weights, and resumes them in a next batch that allows only those weights', async () => {
		const [a] = createProcesses('a');
		setRunSpeed(40, 195);

		await waitFor(a!.batches.submit('1', createSubmission(2, {step: 1, leastVersion: 1, wantedGroups: 1})));
		await clock.tickAsync(4000);
		cluster.deployment.published = 2;
		for (const endpoint of cluster.serving.endpoints.values()) {
			endpoint.version = 2;
			a!.directory.recordVersion(endpoint.id, 'm', 2);
		}

		await clock.tickAsync(2500);
		await waitFor(a!.batches.end('1'));
		await clock.tickAsync(1000);
		await waitFor(a!.batches.submit('2', createSubmission(4, {step: 3, leastVersion: 2})));
		// Started over, they would take 7.8 s, as the two others do.
		await clock.tickAsync(5000);
		const results = await readAll(a!, '2');
		expect(results.map(({id, versions, text}) => [id, versions.join(','), text.split('\n').length])).to.deep.equal([['s0', '2', 195], ['s1', '2', 195]]);
	});

	it('starts no regeneration before the versions that earlier open batches will publish', async () => {
		cluster = createCluster(4);
		const [a] = createProcesses('a');
		setRunSpeed(40, 195);

		await waitFor(a!.batches.submit('1', createSubmission(1, {step: 1, wantedGroups: 1})));
		await clock.tickAsync(50);
		const later = createSubmission(2, {step: 2, wantedGroups: 1});
		await waitFor(a!.batches.submit('2', {...later, samples: later.samples.map(sample => ({...sample, id: `t${sample.id}`}))}));
		cluster.deployment.published = 2;
		await clock.tickAsync(4000);
		const runs = () => [...cluster.serving.endpoints.values()].flatMap(endpoint => endpoint.runs).length;
		expect(runs()).to.equal(3);
		cluster.deployment.published = 3;
		for (const endpoint of cluster.serving.endpoints.values()) {
			endpoint.version = 3;
			a!.directory.recordVersion(endpoint.id, 'm', 3);
		}

		await clock.tickAsync(500);
		expect(runs()).to.equal(5);
	});

	it('returns no result that is not in the store yet', async () => {
		const [a, b] = createProcesses('a', 'b');
		await waitFor(a!.batches.submit('1', createSubmission(2)));
		a!.store.switches.isDown = true;
		await clock.tickAsync(1500);
		expect(await readAll(a!, '1')).to.have.length(0);
		expect(await readAll(b!, '1')).to.have.length(0);
		a!.store.switches.isDown = false;
		await clock.tickAsync(2000);
		expect(await readAll(b!, '1')).to.have.length(2);
	});

	it('abandons a sample after exactly as many failures as its route allows', async () => {
		const [a] = createProcesses('a');
		for (const {switches} of cluster.serving.endpoints.values()) {
			switches.status = 500;
		}

		await waitFor(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(3000);
		const results = await readAll(a!, '1');
		expect(results.map(({state}) => state)).to.deep.equal(['abandoned']);
		expect([...cluster.serving.endpoints.values()].flatMap(({runs}) => runs)).to.have.length(3);
	});

	it('lists a sample only with its score, which is requested once its text is complete', async () => {
		const [a] = createProcesses('a');
		const scorer = cluster.serving.endpoints.get('scorer')!;
		scorer.switches.answersToLose = 1;
		const submission = createSubmission(1);
		submission.samples[0]!.score = {
			id: 'k', host: 'h', path: '/scores/k', body: 'AAAA',
		};
		await waitFor(a!.batches.submit('1', submission));
		await clock.tickAsync(3000);
		const [result] = await readAll(a!, '1');
		expect(result!.score).to.equal('sc/k');
		expect(scorer.runs).to.have.length(2);
	});

	it('deletes only ended batches and retained texts after the retention period', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(100, 50);

		await waitFor(a!.batches.submit('1', createSubmission(2, {step: 1})));
		await waitFor(a!.batches.submit('2', createSubmission(1, {step: 1, path: '/steps/y'})));
		await clock.tickAsync(1000);
		await waitFor(a!.batches.end('1'));
		await clock.tickAsync(30_000);
		await waitFor(b!.batches.sweep(60_000));
		expect(await catchCode(waitFor(b!.batches.read('1', 0, 0)))).to.equal('none');
		await clock.tickAsync(60_000);
		await waitFor(b!.batches.sweep(60_000));
		expect(await catchCode(waitFor(a!.batches.read('1', 0, 0)))).to.equal('missing');
		expect(await readAll(b!, '2')).to.have.length(1);
		const parts = await Promise.all(['b0', 'b1', 'b2', 'b3'].flatMap(part => ['batch-submissions', 'kept-texts', 'batch-texts'].map(async table => {
			const {rows} = await cluster.root.read({table, part});
			return rows.map(({key}) => key.split('/')[0]);
		})));
		expect(new Set(parts.flat())).to.deep.equal(new Set(['2']));
	});

	it('returns the recent demand of each model on every process', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(800);
		await clock.tickAsync(100);
		const samples = [90, 30, undefined].map((expectedTokens, i) => ({
			id: `s${i}`, path: '/steps/s', headers: {}, body: 'AAAA', group: `g${i}`, expectedTokens,
		}));
		await waitFor(a!.batches.submit('1', createSubmission(3, {samples})));
		await waitFor(b!.batches.submit('2', createSubmission(1, {model: 'other'})));
		await clock.tickAsync(500);
		expect([a, b].map(process => [...process!.batches.listDemands()])).to.deep.equal(Array.from({length: 2}, () => [
			['m', {work: 121, longest: 90}], ['other', {work: 1, longest: 1}],
		]));
		await clock.tickAsync(21_000);
		expect(a!.batches.listDemands().size).to.equal(0);
	});

	it('returns a result within 0.1 s to a trainer that waits at a process that does not own its batch', async () => {
		const [a, b] = createProcesses('a', 'b');
		setRunSpeed(100, 5);
		await clock.tickAsync(100);
		await waitFor(a!.batches.submit('1', createSubmission(1)));
		await clock.tickAsync(150);
		const seenAt = new Map<string, number>();
		await Promise.all([a!, b!].map(async process => {
			const {results} = await waitFor(process.batches.read('1', 0, 1000));
			expect(results).to.have.length(1);
			seenAt.set(process === a ? 'owner' : 'other', performance.now());
		}));
		expect(seenAt.get('other')! - seenAt.get('owner')!).to.be.below(100);
	});

	it('returns the request body of a sample on any process', async () => {
		const [a, b] = createProcesses('a', 'b');
		await waitFor(a!.batches.submit('1', createSubmission(1)));
		for (const process of [a!, b!]) {
			// eslint-disable-next-line no-await-in-loop
			expect([...await waitFor(process.batches.readBody('1', 's0'))]).to.deep.equal([0, 0, 0]);
		}

		expect(await catchCode(waitFor(b!.batches.readBody('1', 'nothing')))).to.equal('missing');
	});
});
