import {expect} from 'chai';
import {platformAdapters, PlatformError, type Platform} from '@wasabiusher/backends';
import {PlatformServer} from '../src/index.js';

async function catchCode(work: Promise<unknown>): Promise<string> {
	try {
		await work;
	} catch (error) {
		return error instanceof PlatformError ? error.code : String(error);
	}

	return 'none';
}

describe('HTTP platform adapter', () => {
	let server: PlatformServer;
	let platform: Platform;

	const write = async (key: string, expected?: number) => platform.tables.transact([{
		table: 't', key, expect: expected, value: {key},
	}]);

	beforeEach(async () => {
		server = new PlatformServer();
		platform = platformAdapters.http(await server.start());
	});

	afterEach(async () => {
		await server.stop();
	});

	it('reads written rows whose keys contain special characters', async () => {
		await write('a/b c%2F?', 0);
		expect(await platform.tables.read('t', 'a/b c%2F?')).to.deep.equal({key: 'a/b c%2F?', value: {key: 'a/b c%2F?'}, version: 1});
		expect(await platform.tables.read('t', 'other')).to.equal(undefined);
		expect(await platform.tables.scan('t', {prefix: 'a/', limit: 5})).to.have.lengthOf(1);
	});

	it('reports a conflict, a rate limit and an outage as writes without effect', async () => {
		await write('a', 0);
		expect(await catchCode(write('a', 0))).to.equal('conflict');
		server.tables.switches.writesPerSecond = 0.001;
		expect(await catchCode(write('b', 0))).to.equal('limited');
		server.tables.switches.isDown = true;
		expect(await catchCode(write('b', 0))).to.equal('unavailable');
		server.tables.switches.isDown = false;
		expect(await platform.tables.read('t', 'b')).to.equal(undefined);
	});

	it('reports a write whose answer was lost as unknown', async () => {
		server.tables.switches.answersToLose = 1;
		expect(await catchCode(write('a', 0))).to.equal('unknown');
		expect(await platform.tables.read('t', 'a')).to.deep.include({version: 1});
	});

	it('stores objects', async () => {
		await platform.objects.put('step/1', Uint8Array.of(0, 255));
		expect([...(await platform.objects.get('step/1'))!]).to.deep.equal([0, 255]);
		expect(await platform.objects.get('step/2')).to.equal(undefined);
	});

	it('lists hosts and published weights', async () => {
		const member = {
			id: 'a', role: 'agent', address: '127.0.0.1:1', dataCentre: 'muroran', region: 'hokkaido', state: 'live',
		} as const;
		await platform.members.announce(member);
		server.publish('trail', 7);
		expect(await platform.members.list()).to.deep.equal([member]);
		const [published] = await platform.weights.listVersions();
		expect(published).to.deep.include({model: 'trail', version: 7});
	});
});
