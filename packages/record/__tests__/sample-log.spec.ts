import {expect} from 'chai';
import type {Sample} from '@wasabiusher/shared';
import {RecordError, SampleLog} from '../src/index.js';
import {Faults, FaultyObjects, FaultyTables} from './faulty-storage.js';

const opening = {fingerprint: 'f', fence: 1, request: {groups: ['a']}};

function createSample(index: number): Sample {
	return {
		id: `s/0/${index}`, step: 's', group: 0, index, attempt: 1, model: 'trail', versions: [{version: 1, from: 0, to: 2}], text: 'ab', tokens: 2,
	};
}

async function catchCode(promise: Promise<unknown>): Promise<string | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error instanceof RecordError ? error.code : String(error);
	}
}

describe('SampleLog', () => {
	let faults: Faults;
	let createLog: () => SampleLog;

	beforeEach(() => {
		faults = new Faults();
		const tables = new FaultyTables(faults);
		const objects = new FaultyObjects(faults);
		createLog = () => new SampleLog({tables, objects, step: 's'});
	});

	it('reads back the request, the samples and the acknowledgements', async () => {
		const log = createLog();
		await log.open(opening);
		await log.append([createSample(0), createSample(1)], 'rAQ');
		await log.append([createSample(2)], 'rAw');
		const other = createLog();
		const recorded = await other.read();
		expect([recorded?.request, recorded?.acknowledged, recorded?.batches]).to.deep.equal([opening.request, 'rAw', 2]);
		const samples = await other.readSamples();
		expect(samples).to.deep.equal([0, 1, 2].map(index => createSample(index)));
	});

	it('rejects commits of an earlier owner once a later one has opened the step', async () => {
		const [paused, heir] = [createLog(), createLog()];
		await paused.open(opening);
		await heir.open({...opening, fence: 2});
		expect(await catchCode(paused.append([createSample(0)], ''))).to.equal('conflict');
		expect(await catchCode(paused.open(opening))).to.equal('conflict');
		expect(await heir.readSamples()).to.be.empty;
	});

	it('rejects another step with the same id', async () => {
		await createLog().open(opening);
		expect(await catchCode(createLog().open({...opening, fingerprint: 'g', fence: 2}))).to.equal('conflict');
	});

	it('commits once if the answer is lost', async () => {
		const log = createLog();
		await log.open(opening);
		// Faults of the object's write and of the transaction.
		faults.next = ['none', 'lost-after'];
		await log.append([createSample(0)], '');
		faults.next = ['none', 'lost-before'];
		await log.append([createSample(1)], '');
		const samples = await createLog().readSamples();
		expect(samples.map(({index}) => index)).to.deep.equal([0, 1]);
	});

	it('reports that nothing can be written while the store is down', async () => {
		const log = createLog();
		await log.open(opening);
		faults.standing = 'down';
		expect(await catchCode(log.append([createSample(0)], ''))).to.equal('unavailable');
	});
});
