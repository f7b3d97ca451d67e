import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {batchTable, type SampleResult} from '../src/index.js';
import {decodeRecord} from '../src/batch-store.js';
import {findPart} from '../src/parts.js';
import {
	createSubmission, createCluster, tickUntilDone, type Process, type Cluster,
} from './fixtures.js';

/** Number of samples of a batch that is shared by two of eight hosts. */
const sharedBatchSamples = 40;

describe('Batches that several hosts share', () => {
	let clock: Clock;
	let cluster: Cluster;
	let processes: Process[];

	async function waitFor<Result>(work: Promise<Result>): Promise<Result> {
		return tickUntilDone(clock, work);
	}

	/** Reads a batch page by page from a position on, as a trainer does. */
	async function readFrom(process: Process, id: string, after = 0): Promise<SampleResult[]> {
		const {results} = await waitFor(process.batches.read(id, after, 0));
		return results.length === 0 ? results : [...results, ...await readFrom(process, id, after + results.length)];
	}

	function listWorkers(): Process[] {
		return processes.filter(({batches}) => batches.ownedCount > 0);
	}

	function setRunSpeed(eventMs: number, events: number): void {
		for (const {switches} of cluster.serving.endpoints.values()) {
			Object.assign(switches, {eventMs, events});
		}
	}

	function expectEachOnce(results: readonly SampleResult[], samples = sharedBatchSamples): void {
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(Array.from({length: samples}, (_, i) => `s${i}`).toSorted());
		expect(results.every(({state}) => state === 'made')).to.equal(true);
	}

	beforeEach(async () => {
		clock = install();
		cluster = createCluster(6);
		processes = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(host => cluster.createProcess(host, {delayMs: 4}));
		setRunSpeed(40, 10);
		await clock.tickAsync(500);
	});

	afterEach(() => {
		for (const process of processes) {
			process.kill();
		}

		clock.uninstall();
	});

	it('divides a large batch, returns each result at the same position on every process, and assigns a small batch to one host', async () => {
		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		await waitFor(processes[1]!.batches.submit('2', createSubmission(4, {path: '/steps/other/x'})));
		await clock.tickAsync(200);
		expect(processes.map(({batches}) => batches.ownedCount).toSorted((a, b) => a - b)).to.deep.equal([0, 0, 0, 0, 0, 1, 1, 1]);
		await clock.tickAsync(6000);
		const results = await readFrom(processes[0]!, '1');
		expectEachOnce(results);
		expect(await readFrom(processes[7]!, '1')).to.deep.equal(results);
		expectEachOnce(await readFrom(processes[7]!, '2'), 4);
	});

	it('moves only the share of a killed host to another one, and keeps the positions of results that were read', async () => {
		setRunSpeed(40, 25);
		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		await clock.tickAsync(1300);
		const before = await readFrom(processes[0]!, '1');
		expect(before).not.to.have.length(0);
		const [first, second] = listWorkers();
		first!.kill();
		await clock.tickAsync(500);
		expect(second!.batches.ownedCount).to.equal(1);
		await clock.tickAsync(8000);
		const reader = processes.find(process => process !== first)!;
		const results = await readFrom(reader, '1');
		expectEachOnce(results);
		expect(results.slice(0, before.length)).to.deep.equal(before);
	});

	it('lists no result twice if writes of both hosts lose their answers or are performed late', async () => {
		for (const {store} of processes) {
			Object.assign(store.switches, {lateMs: 130});
		}

		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		for (let i = 0; i < 30; i += 1) {
			for (const {store} of listWorkers()) {
				Object.assign(store.switches, i % 2 === 0 ? {answersToLose: 1} : {writesToDelay: 1});
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(97);
		}

		for (const {store} of processes) {
			Object.assign(store.switches, {answersToLose: 0, writesToDelay: 0});
		}

		await clock.tickAsync(6000);
		expectEachOnce(await readFrom(processes[3]!, '1'));
	});

	it('lists no result again that the previous owner has listed, even if the new owner could not read it at its start', async () => {
		setRunSpeed(40, 25);
		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		await clock.tickAsync(1300);
		for (const {store} of processes) {
			// A host that takes a share over reads none of the results that were written.
			store.switches.hiddenTables = new Set(['batch-results']);
		}

		listWorkers()[0]!.kill();
		await clock.tickAsync(2500);
		for (const {store} of processes) {
			store.switches.hiddenTables = new Set();
		}

		await clock.tickAsync(8000);
		expectEachOnce(await readFrom(processes.find(({store}) => !store.switches.isDown)!, '1'));
	});

	it('continues if both hosts leave at the same time', async () => {
		setRunSpeed(40, 60);
		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		await clock.tickAsync(1000);
		const leaving = listWorkers();
		expect(leaving).to.have.length(2);
		await waitFor(Promise.all(leaving.map(async ({batches}) => batches.handOver())));
		await clock.tickAsync(600);
		expect(leaving.map(({batches}) => batches.ownedCount)).to.deep.equal([0, 0]);
		expect(listWorkers()).not.to.have.length(0);
		await clock.tickAsync(9000);
		expectEachOnce(await readFrom(processes[0]!, '1'));
	});

	it('soon takes over a share that was assigned to a dead host, which has sent no heartbeat since', async () => {
		const first = createSubmission(sharedBatchSamples);
		await waitFor(processes[0]!.batches.submit('1', first));
		await clock.tickAsync(100);
		const [, other] = listWorkers();
		await waitFor(processes[0]!.batches.end('1'));
		// It has reported that it is idle, so that its silence goes unnoticed when it is killed.
		await clock.tickAsync(8000);
		other!.kill();
		await clock.tickAsync(3000);
		setRunSpeed(40, 60);
		const reader = processes.find(process => process !== other)!;
		await waitFor(reader.batches.submit('2', createSubmission(sharedBatchSamples)));
		await clock.tickAsync(1900);
		const owned = processes.filter(process => process !== other).reduce((sum, {batches}) => sum + batches.ownedCount, 0);
		expect(owned).to.equal(2);
	});

	it('takes nothing over from a host that was just assigned a share through a slow store', async () => {
		setRunSpeed(40, 150);
		// Only a host with work receives its own heartbeats, without which it takes nothing over.
		await waitFor(processes[5]!.batches.submit('0', createSubmission(2, {path: '/steps/other/x'})));
		await clock.tickAsync(1500);
		for (const {store} of processes) {
			store.switches.delayMs = 400;
		}

		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples)));
		await clock.tickAsync(3000);
		const {rows} = await cluster.root.read({table: batchTable, part: findPart('1')});
		const {shares} = decodeRecord(rows.find(({key}) => key === '1')!);
		expect(shares.map(({term}) => term)).to.deep.equal([1, 1]);
	});

	it('retains the texts of all hosts at the end of a batch, and resumes them in the next one', async () => {
		setRunSpeed(40, 50);
		await waitFor(processes[0]!.batches.submit('1', createSubmission(sharedBatchSamples, {step: 1})));
		await clock.tickAsync(1200);
		await waitFor(processes[5]!.batches.end('1'));
		await clock.tickAsync(300);
		const runs = () => [...cluster.serving.endpoints.values()].flatMap(endpoint => endpoint.runs);
		const before = runs().length;
		expect(before).to.be.at.least(24);
		await waitFor(processes[6]!.batches.submit('2', createSubmission(sharedBatchSamples, {step: 2, wantedGroups: 2 * sharedBatchSamples})));
		await clock.tickAsync(9000);
		const results = await readFrom(processes[2]!, '2');
		expectEachOnce(results);
		expect(results.every(({text}) => text.split('\n').length === 50)).to.equal(true);
		expect(runs().filter(({resumeAfter}) => (resumeAfter ?? 0) > 0)).to.have.length(before);
	});
});
