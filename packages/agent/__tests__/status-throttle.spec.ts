import {expect} from 'chai';
import type {EndpointStatus} from '@wasabiusher/link';
import {StatusThrottle} from '../src/status-throttle.js';

function createStatus(changes: Partial<EndpointStatus> = {}): EndpointStatus {
	return {
		service: 'models',
		models: [{model: 'trail', version: 1}],
		role: 'any',
		limit: 8, running: 0, waiting: 0, waitingWork: 0, workPerSecond: 1, isLeaving: false, isHealthy: true, configurationVersion: 1, fence: 0, ...changes,
	};
}

/** Counts the messages per link in 10 s, for a load that changes every 200 ms. */
function countSent(links: number): number {
	const throttle = new StatusThrottle();
	const times = Array.from({length: 50}, (_, index) => index * 200);
	return times.filter(now => throttle.shouldSend(createStatus({running: now / 200}), links, now)).length;
}

describe('StatusThrottle', () => {
	it('sends every change over few links, and fewer changes the more links there are', () => {
		expect([3, 15, 35].map(links => countSent(links))).to.deep.equal([50, 5, 2]);
	});

	it('sends an unchanged status rarely', () => {
		const throttle = new StatusThrottle();
		const sent = [0, 200, 400, 800, 1000, 1200].filter(now => throttle.shouldSend(createStatus(), 3, now));
		expect(sent).to.deep.equal([0, 1000]);
	});

	for (const change of [{isHealthy: false}, {isLeaving: true}, {models: []}]) {
		it(`sends a change of ${Object.keys(change)[0]} immediately`, () => {
			const throttle = new StatusThrottle();
			throttle.shouldSend(createStatus(), 35, 0);
			expect(throttle.shouldSend(createStatus(change), 35, 10)).to.equal(true);
		});
	}
});
