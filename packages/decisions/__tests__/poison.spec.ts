import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {chooseIsolation, PoisonGuard} from '../src/index.js';

const endpoints = ['a', 'b', 'c', 'd', 'e', 'f'];

function createCrash(endpoint: string, ...fingerprints: string[]) {
	return {endpoint, incarnation: '1', fingerprints};
}

describe('PoisonGuard', () => {
	it('isolates requests in flight at a crash and clears those that finish', () => {
		const guard = new PoisonGuard();
		guard.recordCrash(createCrash('a', 'poison', 'innocent'), 0);
		expect(guard.judge('innocent', 1)).to.deep.equal({kind: 'isolate', avoid: ['a']});
		guard.recordFinished('innocent');
		expect(guard.judge('innocent', 1)).to.deep.equal({kind: 'free'});
		expect(guard.judge('poison', 1).kind).to.equal('isolate');
		expect(guard.judge('bystander', 1)).to.deep.equal({kind: 'free'});
	});

	it('does not send a suspect back to the endpoint that crashed', () => {
		for (const avoided of endpoints) {
			expect(chooseIsolation('poison', endpoints, [avoided])).not.to.equal(avoided);
		}

		expect(chooseIsolation('poison', ['a'], ['a'])).to.equal(undefined);
	});

	it('quarantines at the second crash, for a term that doubles', () => {
		const guard = new PoisonGuard();
		guard.recordCrash(createCrash('a', 'poison'), 0);
		guard.recordCrash(createCrash('b', 'poison'), 1000);
		expect(guard.judge('poison', 2000)).to.deep.equal({kind: 'quarantined', retryAfterMs: 599_000});
		expect(guard.judge('poison', 601_000).kind).to.equal('isolate');
		guard.recordCrash(createCrash('c', 'poison'), 700_000);
		expect(guard.judge('poison', 700_000)).to.deep.equal({kind: 'quarantined', retryAfterMs: 1_200_000});
	});

	it('counts a crash once, however often it is received', () => {
		const [one, other] = [new PoisonGuard(), new PoisonGuard()];
		one.recordCrash(createCrash('a', 'poison'), 0);
		one.recordCrash(createCrash('a', 'poison'), 10);
		other.merge(one.list(20), 5000);
		other.merge(one.list(30), 5000);
		one.merge(other.list(5000), 40);
		expect([one.judge('poison', 50).kind, other.judge('poison', 5000).kind]).to.deep.equal(['isolate', 'isolate']);
	});

	it('keeps a request cleared when an older record of the crash arrives', () => {
		const [one, other] = [new PoisonGuard(), new PoisonGuard()];
		one.recordCrash(createCrash('a', 'innocent'), 0);
		const old = one.list(0);
		one.recordFinished('innocent');
		other.merge(one.list(1), 1);
		other.merge(old, 2);
		expect(other.judge('innocent', 3)).to.deep.equal({kind: 'free'});
	});

	it('adds up crashes observed by different entries', () => {
		const [one, other] = [new PoisonGuard(), new PoisonGuard()];
		one.recordCrash(createCrash('a', 'poison'), 0);
		other.recordCrash(createCrash('b', 'poison'), 0);
		one.merge(other.list(1), 1);
		expect(one.judge('poison', 2).kind).to.equal('quarantined');
	});

	it('loses at most two endpoints to a poison request sent again through other entries at once', () => {
		for (let seed = 0; seed < 50; seed++) {
			expect(countCrashedEndpoints(seed)).to.be.at.most(2);
		}
	});
});

/**
 * Returns the number of endpoints that crash within ten rounds.
 *
 * Three entries receive crash records one round late; the caller retries through all of them each round.
 * Suspects meet at one endpoint, whose agent runs one of them at a time and reports its crash to the others.
 */
function countCrashedEndpoints(seed: number): number {
	const random = new Random(seed);
	const guards = [new PoisonGuard(), new PoisonGuard(), new PoisonGuard()];
	const crashed = new Set<string>();
	const first = random.pick(endpoints);
	crashed.add(first);
	for (const guard of guards) {
		guard.recordCrash(createCrash(first, 'poison', 'innocent'), 0);
	}

	for (let round = 1; round <= 10; round++) {
		const crashes: Array<ReturnType<typeof createCrash>> = [];
		for (const guard of guards) {
			const verdict = guard.judge('poison', round * 100);
			const target = verdict.kind === 'isolate' ? chooseIsolation('poison', endpoints, verdict.avoid) : undefined;
			if (target !== undefined) {
				crashed.add(target);
				crashes.push(createCrash(target, 'poison'));
			}
		}

		const receiver = random.integer(0, 2);
		guards[receiver]!.recordCrash(crashes[0] ?? createCrash('a'), round * 100);
		for (const guard of guards) {
			guard.merge(guards[receiver]!.list(round * 100), round * 100);
		}
	}

	return crashed.size;
}
