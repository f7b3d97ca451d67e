import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {createArrivals, type Arrival} from '../src/arrivals.js';
import {loadSettingsSchema, type LoadSettings} from '../src/index.js';

function create(pattern: LoadSettings['pattern'], settings: Record<string, string> = {}): Arrival[] {
	const parsed = loadSettingsSchema.parse({
		entries: 'http://127.0.0.1:1', profile: 'p', pattern, rate: '200', seconds: '50', tokens: '10', callers: '10', ...settings,
	});
	return createArrivals(parsed, new Random(parsed.seed));
}

function countWhere(arrivals: Arrival[], test: (arrival: Arrival) => boolean): number {
	return arrivals.filter(arrival => test(arrival)).length / arrivals.length;
}

describe('createArrivals', () => {
	it('draws sorted arrivals at the average rate for every pattern', () => {
		for (const pattern of ['steady', 'burst', 'hot-caller', 'long-among-short'] as const) {
			const arrivals = create(pattern);
			expect(arrivals.length, pattern).to.be.within(9000, 11_000);
			expect(arrivals.every(({atMs}, index) => index === 0 || atMs >= arrivals[index - 1]!.atMs)).to.equal(true);
			expect(new Set(arrivals.map(({id}) => id)).size).to.equal(arrivals.length);
		}
	});

	it('draws half of the requests within bursts', () => {
		expect(countWhere(create('burst'), ({atMs}) => atMs % 5000 < 500)).to.be.within(0.45, 0.55);
	});

	it('assigns most requests to one caller under hot-caller', () => {
		expect(countWhere(create('hot-caller'), ({caller}) => caller === 'caller-0')).to.be.within(0.78, 0.86);
		expect(countWhere(create('steady'), ({caller}) => caller === 'caller-0')).to.be.within(0.08, 0.12);
	});

	it('draws few long requests under long-among-short', () => {
		expect(countWhere(create('long-among-short'), ({tokens}) => tokens === 160)).to.be.within(0.04, 0.06);
	});

	it('stops at the limit of requests and is reproducible by its seed', () => {
		expect(create('steady', {requests: '7'})).to.have.lengthOf(7);
		expect(create('burst')).to.deep.equal(create('burst'));
		expect(create('burst', {seed: '2'})).not.to.deep.equal(create('burst'));
	});
});
