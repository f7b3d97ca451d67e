import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ReferenceClock} from '../src/index.js';

describe('ReferenceClock', () => {
	let clock: Clock;
	/** Reference time minus the store's clock, in milliseconds. */
	const offsetMs = 900_000;

	beforeEach(() => {
		clock = install({now: 1_000_000});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('uses this host\'s clock before the first answer of the store', () => {
		expect(new ReferenceClock(() => undefined).read()).to.equal(1_000_000);
	});

	it('uses the median of all hosts while its own clock deviates, and its own clock again afterwards', () => {
		const origin = performance.now();
		const time = new ReferenceClock(() => 100_000 + performance.now() - origin);
		for (const [host, ms] of [['a', offsetMs], ['b', offsetMs + 3], ['c', offsetMs + 2000], ['d', offsetMs - 2], ['e', offsetMs - 2000]] as const) {
			time.recordOffset(host, ms);
		}

		clock.setSystemTime(1_002_000);
		expect(time.ownOffsetMs).to.equal(offsetMs + 2000);
		expect(time.read()).to.equal(1_000_000);
		clock.setSystemTime(1_000_010);
		expect(time.read()).to.equal(1_000_010);
	});
});
