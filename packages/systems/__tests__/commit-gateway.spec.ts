import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {MessageOf} from '@wasabiusher/link';
import {RecordError, type GroupWrite} from '@wasabiusher/record';
import {Faults, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {CommitGateway} from '../src/index.js';

/** Simulates the entries of one data centre, connected to each other by links with a delay of 1 ms. */
class FakeDataCentre {
	readonly tables = new FaultyTables(new Faults());
	readonly gateways = new Map<string, CommitGateway>();
	/** Entries that receive no messages. */
	readonly silent = new Set<string>();
	/** Entries that no link leads to. */
	readonly cut = new Set<string>();

	constructor(count: number) {
		const names = Array.from({length: count}, (_, index) => `entry-${index}`);
		for (const name of names) {
			this.gateways.set(name, new CommitGateway({
				name,
				tables: this.tables,
				maxDirectEntries: 3,
				listEntries: () => names,
				send: (to, message) => {
					if (this.cut.has(to)) {
						return false;
					}

					setTimeout(() => {
						if (!this.silent.has(to)) {
							this.gateways.get(to)!.receive(name, message as MessageOf<'commit' | 'committed'>);
						}
					}, 1);
					return true;
				},
			}));
		}
	}

	/** The gateway of an entry that is not a gatherer. */
	get nonGatherer(): CommitGateway {
		return [...this.gateways].find(([name, {gatherers}]) => !gatherers.includes(name))![1];
	}
}

function createWrite(key: string, attempt = 'a', table = 'claims'): GroupWrite {
	return {
		table, key, expect: 0, value: {attempt},
	};
}

async function catchCode(promise: Promise<unknown>): Promise<string> {
	try {
		await promise;
		return 'none';
	} catch (error) {
		return error instanceof RecordError ? error.code : String(error);
	}
}

describe('CommitGateway', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('commits rows of many entries in few transactions', async () => {
		const dataCentre = new FakeDataCentre(50);
		dataCentre.tables.faults.delayMs = 5;
		const writes: Array<Promise<unknown>> = [];
		for (let i = 0; i < 100; i += 1) {
			writes.push(...[...dataCentre.gateways.values()].map(async (gateway, index) => gateway.write(createWrite(`${i}/${index}`))));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
		}

		await clock.tickAsync(2000);
		const results = await Promise.all(writes);
		expect(results.every(result => (result as {isWritten: boolean}).isWritten)).to.be.true;
		expect(dataCentre.tables.rows.size).to.equal(5000);
		// 500 rows per second for 10 s: two gatherers, each with one transaction per 200 ms.
		expect(dataCentre.tables.faults.writes).to.be.at.most(2 * 55);
	});

	it('lets entries commit directly if there are few', async () => {
		const dataCentre = new FakeDataCentre(3);
		expect(dataCentre.gateways.get('entry-0')!.gatherers).to.be.empty;
		dataCentre.silent.add('entry-1').add('entry-2');
		expect(await dataCentre.gateways.get('entry-0')!.write(createWrite('k'))).to.deep.equal({isWritten: true});
	});

	it('returns the existing row to the second of two writers', async () => {
		const dataCentre = new FakeDataCentre(10);
		const first = dataCentre.nonGatherer.write(createWrite('k', 'first'));
		await clock.tickAsync(300);
		await first;
		const second = dataCentre.gateways.get('entry-0')!.write(createWrite('k', 'second'));
		await clock.tickAsync(300);
		expect(await second).to.deep.equal({isWritten: false, row: {key: 'k', value: {attempt: 'first'}, version: 1}});
	});

	it('commits directly without a link, and reports an unknown outcome when a gatherer does not answer or its link is lost', async () => {
		const dataCentre = new FakeDataCentre(10);
		const {gatherers} = dataCentre.nonGatherer;
		dataCentre.cut.add(gatherers[0]!).add(gatherers[1]!);
		expect(await dataCentre.nonGatherer.write(createWrite('cut'))).to.deep.equal({isWritten: true});
		dataCentre.cut.clear();
		dataCentre.silent.add(gatherers[0]!).add(gatherers[1]!);
		const silent = catchCode(dataCentre.nonGatherer.write(createWrite('silent')));
		await clock.tickAsync(2000);
		expect(await silent).to.equal('unknown');
		const lost = catchCode(dataCentre.nonGatherer.write(createWrite('lost')));
		for (const gatherer of gatherers) {
			dataCentre.nonGatherer.onLinkDown(gatherer);
		}

		expect(await lost).to.equal('unknown');
	});

	it('reports that nothing was written while the store is down, and writes only claims for other entries', async () => {
		const dataCentre = new FakeDataCentre(10);
		const foreign = catchCode(dataCentre.nonGatherer.write(createWrite('k', 'a', 'configuration')));
		await clock.tickAsync(10);
		expect(await foreign).to.equal('unavailable');
		dataCentre.tables.faults.standing = 'down';
		const down = catchCode(dataCentre.nonGatherer.write(createWrite('k')));
		await clock.tickAsync(300);
		expect(await down).to.equal('unavailable');
		expect(dataCentre.tables.rows.size).to.equal(0);
	});
});
