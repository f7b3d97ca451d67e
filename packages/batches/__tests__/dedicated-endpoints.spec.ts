import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EndpointDirectory} from '@wasabiusher/direct';
import {Random} from '@wasabiusher/shared';
import {batchRecordSchema} from '../src/batch.js';
import {DedicatedEndpoints} from '../src/dedicated-endpoints.js';

describe('DedicatedEndpoints', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('returns the same object while the endpoints are unchanged, and another once they change', async () => {
		const directory = new EndpointDirectory(new Random(1));
		const register = (id: string) => {
			directory.put({
				id, service: 's', address: id, dataCentre: 'd', slots: 4, isDraining: false, models: [{model: 'm', version: 1}], orderCount: 0, coldMs: 0,
			});
		};

		for (const id of ['a', 'b', 'c', 'd', 'e', 'f']) {
			register(id);
		}

		const share = {
			owner: 'o', ownerHost: 'h', dataCentre: 'd', term: 1,
		};
		const record = batchRecordSchema.parse({
			id: 'x', shares: [share, share], series: 't', isEnded: false, object: '', total: 8, model: 'm', acceptedMs: 0,
		});
		const dedicatedEndpoints = new DedicatedEndpoints({
			directory, listServices: () => new Set(['s']), findPublishedVersion: () => 1, findRecord: () => record,
		}, 0);
		const first = dedicatedEndpoints.find();
		expect(first?.size).to.equal(3);
		await clock.tickAsync(3000);
		expect(dedicatedEndpoints.find()).to.equal(first);
		for (const id of ['g', 'h']) {
			register(id);
		}

		await clock.tickAsync(600);
		expect(dedicatedEndpoints.find()).not.to.equal(first);
	});
});
