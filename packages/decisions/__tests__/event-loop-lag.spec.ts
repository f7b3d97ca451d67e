import {expect} from 'chai';
import {EventLoopLag} from '../src/index.js';

describe('Lateness', () => {
	it('is high while ticks are late, and no longer after six punctual ones', () => {
		const lateness = new EventLoopLag();
		expect(lateness.isLate).to.equal(false);
		lateness.record(40);
		expect(lateness.isLate).to.equal(true);
		for (let i = 0; i < 6; i += 1) {
			lateness.record(1);
		}

		expect(lateness.isLate).to.equal(false);
	});

	it('reports the 90th percentile: one pause in ten ticks is ignored, two are not', () => {
		const lateness = new EventLoopLag();
		expect(lateness.usualMs).to.equal(0);
		for (let i = 0; i < 20; i += 1) {
			lateness.record(i % 10 === 0 ? 80 : 2);
		}

		expect(lateness.usualMs).to.equal(2);
		for (let i = 0; i < 20; i += 1) {
			lateness.record(i % 5 === 0 ? 80 : 2);
		}

		expect(lateness.usualMs).to.equal(80);
	});
});
