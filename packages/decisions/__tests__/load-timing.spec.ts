import {expect} from 'chai';
import {shouldLoad, type PublishedVersion} from '../src/index.js';

const loadMs = 1000;
const generationMs = 1000;
const slotsPerEndpoint = 6;

function createVersion(changed: Partial<PublishedVersion> = {}): PublishedVersion {
	return {
		sinceMs: 500, waitingGenerations: 0, endpoints: 8, width: 4, loadMs, intervalMs: 4000, ...changed,
	};
}

/**
 * Replays one step on eight endpoints, of which four load at the same time; an endpoint that loads starts nothing.
 *
 * @returns times at which its last generation begins and the last endpoint has loaded, in milliseconds
 */
function replay(generations: number, decide: (version: PublishedVersion) => boolean): {begunMs: number; loadedMs: number} {
	const endpoints = Array.from({length: 8}, () => ({loadsUntil: 0, isNew: false, ends: Array.from({length: slotsPerEndpoint}, () => 0)}));
	let waiting = generations;
	let begunMs = 0;
	let loadedMs = 0;
	for (let now = 0; now < 10_000; now += 50) {
		const loading = endpoints.filter(({loadsUntil}) => loadsUntil > now).length;
		const old = endpoints.filter(({isNew}) => !isNew);
		if (old.length > 0 && decide(createVersion({sinceMs: now, waitingGenerations: waiting, endpoints: old.length}))) {
			for (const endpoint of old.slice(0, 4 - loading)) {
				endpoint.isNew = true;
				endpoint.loadsUntil = now + loadMs;
				loadedMs = endpoint.loadsUntil;
			}
		}

		for (const {ends} of endpoints.filter(({loadsUntil}) => loadsUntil <= now)) {
			for (const [i, end] of ends.entries()) {
				if (end <= now && waiting > 0) {
					ends[i] = now + generationMs;
					waiting -= 1;
					begunMs = now;
				}
			}
		}
	}

	return {begunMs, loadedMs};
}

describe('shouldLoad', () => {
	it('leaves time for the step that follows a publication to arrive', () => {
		expect(shouldLoad(createVersion({sinceMs: 250}), 300)).to.equal(false);
		expect(shouldLoad(createVersion({sinceMs: 300}), 300)).to.equal(true);
	});

	it('waits for generations that have not started, as long as all loads end before the next publication', () => {
		expect(shouldLoad(createVersion({waitingGenerations: 20, sinceMs: 900, intervalMs: 3500}), 300)).to.equal(false);
		expect(shouldLoad(createVersion({waitingGenerations: 20, sinceMs: 1000, intervalMs: 3500}), 300)).to.equal(true);
		expect(shouldLoad(createVersion({
			waitingGenerations: 20, sinceMs: 1000, intervalMs: 3500, endpoints: 4,
		}), 300)).to.equal(false);
	});

	it('waits no longer than a load takes, however rarely versions are published', () => {
		expect(shouldLoad(createVersion({waitingGenerations: 20, sinceMs: 1250, intervalMs: 20_000}), 300)).to.equal(false);
		expect(shouldLoad(createVersion({waitingGenerations: 20, sinceMs: 1300, intervalMs: 20_000}), 300)).to.equal(true);
	});

	it('does not wait without information on waiting generations or the publication interval', () => {
		expect(shouldLoad(createVersion({waitingGenerations: undefined}), 300)).to.equal(true);
		expect(shouldLoad(createVersion({waitingGenerations: 20, intervalMs: undefined}), 300)).to.equal(true);
	});

	it('starts all generations of a step earlier than loads at a fixed time, and loads all endpoints before the next publication', () => {
		const fixed = replay(96, ({sinceMs}) => sinceMs >= 300);
		const timed = replay(96, version => shouldLoad(version, 300));
		expect(timed.begunMs).to.be.at.most(fixed.begunMs - 300);
		expect(timed.loadedMs).to.be.lessThan(4000);
	});
});
