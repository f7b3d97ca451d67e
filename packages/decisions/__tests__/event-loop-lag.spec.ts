import {expect} from 'chai';
import {EventLoopLag} from '../src/index.js';

describe('EventLoopLag', () => {
	it('is high while ticks are late, and no longer after six punctual ones', () => {
		const lag = new EventLoopLag();
		expect(lag.isLate).to.equal(false);
		lag.record(40);
		expect(lag.isLate).to.equal(true);
		for (let i = 0; i < 6; i += 1) {
			lag.record(1);
		}

		expect(lag.isLate).to.equal(false);
	});

	it('reports the 90th percentile: one pause in ten ticks is ignored, two are not', () => {
		const lag = new EventLoopLag();
		expect(lag.usualMs).to.equal(0);
		for (let i = 0; i < 20; i += 1) {
			lag.record(i % 10 === 0 ? 80 : 2);
		}

		expect(lag.usualMs).to.equal(2);
		for (let i = 0; i < 20; i += 1) {
			lag.record(i % 5 === 0 ? 80 : 2);
		}

		expect(lag.usualMs).to.equal(80);
	});
});
