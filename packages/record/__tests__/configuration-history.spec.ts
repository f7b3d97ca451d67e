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

	it('accepts the change of one of several racing operators and reports a conflict to the others', async () => {
		const outcomes = await Promise.all(['a', 'b', 'c'].map(async author => catchCode(history.append(createChange(author)))));
		expect(outcomes.filter(outcome => outcome === undefined)).to.have.lengthOf(1);
		expect(outcomes.filter(outcome => outcome === 'conflict')).to.have.lengthOf(2);
		expect(await readVersion(history)).to.equal(1);
	});

	it('accepts a change once if its answer is lost', async () => {
		tables.faults.next = ['lost-after'];
		const first = await history.append(createChange('a'));
		tables.faults.next = ['lost-before'];
		const second = await history.append(createChange('b'));
		expect([first.version, second.version]).to.deep.equal([1, 2]);
		const changes = await history.list(10);
		expect(changes.map(({author}) => author)).to.deep.equal(['b', 'a']);
	});

	it('reports that nothing was accepted while the store is down', async () => {
		tables.faults.standing = 'down';
		expect(await catchCode(history.append(createChange('a')))).to.equal('unavailable');
	});

	it('reports an unknown outcome if a lost answer can not be read back', async () => {
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

	it('lists the newest changes up to the limit', async () => {
		for (const author of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop
			await history.append(createChange(author));
		}

		const changes = await history.list(2);
		expect(changes.map(({version}) => version)).to.deep.equal([3, 2]);
	});
});
