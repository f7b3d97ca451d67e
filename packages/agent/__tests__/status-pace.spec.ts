import {expect} from 'chai';
import type {EndpointStatus} from '@wasabiusher/link';
import {StatusPace} from '../src/status-pace.js';

function createStatus(changes: Partial<EndpointStatus> = {}): EndpointStatus {
	return {
		service: 'models',
		models: [{model: 'trail', version: 1}],
		role: 'any',
		limit: 8, running: 0, waiting: 0, waitingWork: 0, workPerSecond: 1, isLeaving: false, isHealthy: true, configurationVersion: 1, fence: 0, ...changes,
	};
}

/** Tellings in ten seconds to so many links, of a load that changes every 200 ms. */
function countTold(links: number): number {
	const pace = new StatusPace();
	const times = Array.from({length: 50}, (_, index) => index * 200);
	return times.filter(now => pace.shouldTell(createStatus({running: now / 200}), links, now)).length;
}

describe('StatusPace', () => {
	it('tells each change to few links, and fewer changes the more links there are', () => {
		expect([3, 15, 35].map(links => countTold(links))).to.deep.equal([50, 5, 2]);
	});

	it('tells an unchanged state seldom', () => {
		const pace = new StatusPace();
		const told = [0, 200, 400, 800, 1000, 1200].filter(now => pace.shouldTell(createStatus(), 3, now));
		expect(told).to.deep.equal([0, 1000]);
	});

	for (const change of [{isHealthy: false}, {isLeaving: true}, {models: []}]) {
		it(`tells at once that ${Object.keys(change)[0]} has changed`, () => {
			const pace = new StatusPace();
			pace.shouldTell(createStatus(), 35, 0);
			expect(pace.shouldTell(createStatus(change), 35, 10)).to.equal(true);
		});
	}
});
