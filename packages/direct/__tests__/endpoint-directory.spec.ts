import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import {EndpointDirectory} from '../src/index.js';

function createEndpoint(changes: Partial<RegisteredEndpoint> = {}): RegisteredEndpoint {
	return {
		id: 'i', service: 's', address: 'a', dataCentre: 'd', slots: 4, isDraining: false, models: [{model: 'm', version: 1}], orderCount: 0, coldMs: 0, ...changes,
	};
}

describe('EndpointDirectory', () => {
	let clock: Clock;
	let directory: EndpointDirectory;

	beforeEach(() => {
		clock = install();
		directory = new EndpointDirectory(new Random(1));
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('begins anew with an endpoint that has started again under its name: versions, pace, pauses', () => {
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 4}]}));
		directory.recordFailure('i');
		for (let i = 0; i < 10; i += 1) {
			directory.recordPace('i', 120);
		}

		expect(directory.take({service: 's'})).to.equal(undefined);
		directory.put(createEndpoint({orderCount: 0, models: [{model: 'm', version: 3}]}));
		expect(directory.findVersion('i', 'm')).to.equal(3);
		expect(directory.findBestPace('i')).to.equal(undefined);
		expect(directory.take({service: 's'})?.id).to.equal('i');
	});

	it('keeps what it knows of an endpoint that registers again without having started again', () => {
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 4}]}));
		directory.put(createEndpoint({orderCount: 3, models: [{model: 'm', version: 3}]}));
		expect(directory.findVersion('i', 'm')).to.equal(4);
	});

	it('learns the best pace of an endpoint from other processes, and forgets it', async () => {
		directory.put(createEndpoint());
		directory.learnPaces({i: 47, unknown: 30});
		expect(directory.findBestPace('i')).to.equal(47);
		expect(directory.listOwnPaces(5)).to.deep.equal({});
		await clock.tickAsync(21_000);
		expect(directory.findBestPace('i')).to.equal(undefined);
	});

	it('tells the best of its own paces, not one of a slow spell', async () => {
		directory.put(createEndpoint());
		for (const paceMs of [40, 40, 40, 40, 40, 40, 150, 150, 150, 150]) {
			directory.recordPace('i', paceMs);
			// Events follow one another.
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(paceMs);
		}

		expect(directory.listOwnPaces(5)).to.deep.equal({i: 40});
	});
});
