import {expect} from 'chai';
import {emptyConfiguration} from '@wasabiusher/shared';
import {ConfigurationHistory, RecordError} from '../src/index.js';
import {Faults, FaultyTables} from './faulty-storage.js';

const {configuration} = emptyConfiguration;

function createChange(author: string, ifVersion?: number) {
	return {
		configuration, author, ifVersion, acceptedAt: 1,
	};
}

async function readVersion(history: ConfigurationHistory): Promise<number> {
	const {version} = await history.readHead();
	return version;
}

async function catchCode(promise: Promise<unknown>): Promise<string | undefined> {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error instanceof RecordError ? error.code : String(error);
	}
}

describe('ConfigurationHistory', () => {
	let tables: FaultyTables;
	let history: ConfigurationHistory;

	beforeEach(() => {
		tables = new FaultyTables(new Faults());
		history = new ConfigurationHistory(tables);
	});

	it('lets one of racing operators win and tells the others', async () => {
		const outcomes = await Promise.all(['a', 'b', 'c'].map(async author => catchCode(history.append(createChange(author)))));
		expect(outcomes.filter(outcome => outcome === undefined)).to.have.lengthOf(1);
		expect(outcomes.filter(outcome => outcome === 'conflict')).to.have.lengthOf(2);
		expect(await readVersion(history)).to.equal(1);
	});

	it('accepts a change once though its answer is lost', async () => {
		tables.faults.next = ['lost-after'];
		const first = await history.append(createChange('a'));
		tables.faults.next = ['lost-before'];
		const second = await history.append(createChange('b'));
		expect([first.version, second.version]).to.deep.equal([1, 2]);
		const changes = await history.list(10);
		expect(changes.map(({author}) => author)).to.deep.equal(['b', 'a']);
	});

	it('says that nothing was accepted while the store is down', async () => {
		tables.faults.standing = 'down';
		expect(await catchCode(history.append(createChange('a')))).to.equal('unavailable');
	});

	it('says that it does not know when the answer can not be read back', async () => {
		tables.faults.next = ['lost-after', 'lost-after', 'lost-after'];
		const {read} = tables;
		let reads = 0;
		tables.read = async (...parameters) => {
			reads += 1;
			if (reads > 1) {
				tables.faults.standing = 'down';
			}

			return read.apply(tables, parameters);
		};

		expect(await catchCode(history.append(createChange('a')))).to.equal('unknown');
	});

	it('lists only the tail', async () => {
		for (const author of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop
			await history.append(createChange(author));
		}

		const changes = await history.list(2);
		expect(changes.map(({version}) => version)).to.deep.equal([3, 2]);
	});
});
