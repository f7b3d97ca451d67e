import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {Ejection} from '../src/index.js';

const pool = ['a', 'b', 'c', 'd', 'e', 'f'];
const good = {hasFailed: false, slowness: 1};

function createPool(): Ejection {
	const ejection = new Ejection();
	for (const endpoint of pool) {
		ejection.add(endpoint);
		for (let i = 0; i < 20; i++) {
			ejection.record(endpoint, good, 0);
		}
	}

	return ejection;
}

/** Returns the number of requests until an endpoint is ejected, at most 200. */
function countRequestsUntilEjected(ejection: Ejection, endpoint: string, evidence: () => {hasFailed: boolean; slowness: number}): number {
	for (let i = 1; i <= 200; i++) {
		if (ejection.record(endpoint, evidence(), 1000)) {
			return i;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Returns the time until a recovered endpoint is in use again, in milliseconds; probes take 100 ms. */
function measureRestoreMs(ejection: Ejection, endpoint: string, from: number): number {
	for (let now = from; now < from + 60_000; now += 100) {
		if (!ejection.isEjected(endpoint)) {
			return now - from;
		}

		if (ejection.tryStartProbe(endpoint, now)) {
			ejection.recordProbe(endpoint, good, now + 100);
		}
	}

	return Number.POSITIVE_INFINITY;
}

describe('Ejection', () => {
	it('ejects an endpoint that is ten times slower within a few requests', () => {
		expect(countRequestsUntilEjected(createPool(), 'a', () => ({hasFailed: false, slowness: 10}))).to.be.at.most(3);
	});

	it('ejects an endpoint that fails half of its calls', () => {
		const random = new Random(2);
		expect(countRequestsUntilEjected(createPool(), 'a', () => ({hasFailed: random.next() < 0.5, slowness: 1}))).to.be.at.most(15);
	});

	it('does not eject an endpoint that fails one call in fifty', () => {
		const random = new Random(3);
		expect(countRequestsUntilEjected(createPool(), 'a', () => ({hasFailed: random.next() < 0.02, slowness: 1}))).to.equal(Number.POSITIVE_INFINITY);
	});

	it('does not eject endpoints of a pool that is slow as a whole', () => {
		const ejection = createPool();
		for (let i = 0; i < 200; i++) {
			ejection.record(pool[i % 6]!, {hasFailed: false, slowness: 2.5 + (i * 0.01)}, 1000);
		}

		expect(ejection.ejectedCount).to.equal(0);
	});

	it('never ejects more than a third, nor the only endpoint', () => {
		const ejection = createPool();
		for (const endpoint of pool) {
			countRequestsUntilEjected(ejection, endpoint, () => ({hasFailed: true, slowness: 1}));
		}

		expect(ejection.ejectedCount).to.equal(2);
		const single = new Ejection();
		single.add('only');
		expect(countRequestsUntilEjected(single, 'only', () => ({hasFailed: true, slowness: 1}))).to.equal(Number.POSITIVE_INFINITY);
	});

	it('restores an endpoint within ten seconds of its recovery, even after a minute of failed probes', () => {
		const ejection = createPool();
		countRequestsUntilEjected(ejection, 'a', () => ({hasFailed: true, slowness: 1}));
		for (let now = 1000; now < 61_000; now += 100) {
			if (ejection.tryStartProbe('a', now)) {
				ejection.recordProbe('a', {hasFailed: true, slowness: 1}, now);
			}
		}

		expect(measureRestoreMs(ejection, 'a', 61_000)).to.be.at.most(10_000);
	});

	it('requires consecutive successful probes', () => {
		const ejection = createPool();
		countRequestsUntilEjected(ejection, 'a', () => ({hasFailed: true, slowness: 1}));
		for (let i = 0; i < 40; i++) {
			ejection.recordProbe('a', {hasFailed: i % 4 === 3, slowness: 1}, 2000 + i);
		}

		expect(ejection.isEjected('a')).to.equal(true);
	});

	it('does not wait for a probe that never ends', () => {
		const ejection = createPool();
		countRequestsUntilEjected(ejection, 'a', () => ({hasFailed: true, slowness: 1}));
		expect(ejection.tryStartProbe('a', 2000)).to.equal(true);
		expect(ejection.tryStartProbe('a', 2100)).to.equal(false);
		expect(measureRestoreMs(ejection, 'a', 2100)).to.be.at.most(10_000);
	});
});
