import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {batchTable, type SampleResult} from '../src/index.js';
import {decodeRecord} from '../src/batch-store.js';
import {findPart} from '../src/parts.js';
import {
	createSubmission, createWorld, tickUntilDone, type Process, type World,
} from './fixtures.js';

/** Samples of a batch that two of eight hosts share. */
const great = 40;

describe('Batches that several hosts share', () => {
	let clock: Clock;
	let world: World;
	let processes: Process[];

	async function settle<Result>(work: Promise<Result>): Promise<Result> {
		return tickUntilDone(clock, work);
	}

	/** Reads a batch as a trainer does, page by page from a position on. */
	async function readFrom(process: Process, id: string, after = 0): Promise<SampleResult[]> {
		const {results} = await settle(process.batches.read(id, after, 0));
		return results.length === 0 ? results : [...results, ...await readFrom(process, id, after + results.length)];
	}

	function listWorkers(): Process[] {
		return processes.filter(({batches}) => batches.ownedCount > 0);
	}

	function paceRuns(eventMs: number, events: number): void {
		for (const {switches} of world.serving.endpoints.values()) {
			Object.assign(switches, {eventMs, events});
		}
	}

	function expectEachOnce(results: readonly SampleResult[], samples = great): void {
		expect(results.map(({id}) => id).toSorted()).to.deep.equal(Array.from({length: samples}, (_, i) => `s${i}`).toSorted());
		expect(results.every(({state}) => state === 'made')).to.equal(true);
	}

	beforeEach(async () => {
		clock = install();
		world = createWorld(6);
		processes = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(host => world.createProcess(host, {delayMs: 4}));
		paceRuns(40, 10);
		await clock.tickAsync(500);
	});

	afterEach(() => {
		for (const process of processes) {
			process.kill();
		}

		clock.uninstall();
	});

	it('divides a great batch, shows each result at one position at every process, and leaves a small one to one host', async () => {
		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
		await settle(processes[1]!.batches.submit('2', createSubmission(4, {path: '/steps/other/x'})));
		await clock.tickAsync(200);
		expect(processes.map(({batches}) => batches.ownedCount).toSorted((a, b) => a - b)).to.deep.equal([0, 0, 0, 0, 0, 1, 1, 1]);
		await clock.tickAsync(6000);
		const results = await readFrom(processes[0]!, '1');
		expectEachOnce(results);
		expect(await readFrom(processes[7]!, '1')).to.deep.equal(results);
		expectEachOnce(await readFrom(processes[7]!, '2'), 4);
	});

	it('loses only the share of a host that is killed, which another takes over, with every position as it was read', async () => {
		paceRuns(40, 25);
		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
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

	it('lists nothing twice when writes of both hosts lose their answers, or are performed late', async () => {
		for (const {store} of processes) {
			Object.assign(store.switches, {lateMs: 130});
		}

		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
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

	it('lists nothing again that the owner before has listed, though the next one did not see it when it began', async () => {
		paceRuns(40, 25);
		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
		await clock.tickAsync(1300);
		for (const {store} of processes) {
			// What a host reads of results when it takes a share over lies behind what was written.
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

	it('goes on when both hosts leave at the same moment', async () => {
		paceRuns(40, 60);
		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
		await clock.tickAsync(1000);
		const leaving = listWorkers();
		expect(leaving).to.have.length(2);
		await settle(Promise.all(leaving.map(async ({batches}) => batches.handOver())));
		await clock.tickAsync(600);
		expect(leaving.map(({batches}) => batches.ownedCount)).to.deep.equal([0, 0]);
		expect(listWorkers()).not.to.have.length(0);
		await clock.tickAsync(9000);
		expectEachOnce(await readFrom(processes[0]!, '1'));
	});

	it('takes a share that was given to a dead host over soon, since nobody has heard it since', async () => {
		const first = createSubmission(great);
		await settle(processes[0]!.batches.submit('1', first));
		await clock.tickAsync(100);
		const [, other] = listWorkers();
		await settle(processes[0]!.batches.end('1'));
		// It has told that it rests, so that nobody listens for it when it dies.
		await clock.tickAsync(8000);
		other!.kill();
		await clock.tickAsync(3000);
		paceRuns(40, 60);
		const reader = processes.find(process => process !== other)!;
		await settle(reader.batches.submit('2', createSubmission(great)));
		await clock.tickAsync(1900);
		const owned = processes.filter(process => process !== other).reduce((sum, {batches}) => sum + batches.ownedCount, 0);
		expect(owned).to.equal(2);
	});

	it('takes nothing over from a host that has just been given a share by way of a slow store', async () => {
		paceRuns(40, 150);
		// Only a host that works hears its own heartbeats, without which it takes nothing over.
		await settle(processes[5]!.batches.submit('0', createSubmission(2, {path: '/steps/other/x'})));
		await clock.tickAsync(1500);
		for (const {store} of processes) {
			store.switches.delayMs = 400;
		}

		await settle(processes[0]!.batches.submit('1', createSubmission(great)));
		await clock.tickAsync(3000);
		const {rows} = await world.root.read({table: batchTable, part: findPart('1')});
		const {shares} = decodeRecord(rows.find(({key}) => key === '1')!);
		expect(shares.map(({term}) => term)).to.deep.equal([1, 1]);
	});

	it('keeps the texts of all hosts at the end of a batch, and goes on with them in the next', async () => {
		paceRuns(40, 50);
		await settle(processes[0]!.batches.submit('1', createSubmission(great, {step: 1})));
		await clock.tickAsync(1200);
		await settle(processes[5]!.batches.end('1'));
		await clock.tickAsync(300);
		const runs = () => [...world.serving.endpoints.values()].flatMap(endpoint => endpoint.runs);
		const before = runs().length;
		expect(before).to.be.at.least(24);
		await settle(processes[6]!.batches.submit('2', createSubmission(great, {step: 2, wantedGroups: 2 * great})));
		await clock.tickAsync(9000);
		const results = await readFrom(processes[2]!, '2');
		expectEachOnce(results);
		expect(results.every(({text}) => text.split('\n').length === 50)).to.equal(true);
		expect(runs().filter(({resumeAfter}) => (resumeAfter ?? 0) > 0)).to.have.length(before);
	});
});
