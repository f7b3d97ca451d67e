import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {TrueTime} from '../src/index.js';

describe('TrueTime', () => {
	let clock: Clock;
	/** True time less the store's clock, in milliseconds. */
	const offsetMs = 900_000;

	beforeEach(() => {
		clock = install({now: 1_000_000});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('trusts this host\'s clock as long as it hears nothing else', () => {
		expect(new TrueTime(() => undefined).read()).to.equal(1_000_000);
	});

	it('goes by what most hosts agree on when its own clock has jumped, and back by its own', () => {
		const origin = performance.now();
		const time = new TrueTime(() => 100_000 + performance.now() - origin);
		for (const [host, ms] of [['a', offsetMs], ['b', offsetMs + 3], ['c', offsetMs + 2000], ['d', offsetMs - 2], ['e', offsetMs - 2000]] as const) {
			time.learn(host, ms);
		}

		clock.setSystemTime(1_002_000);
		expect(time.ownOffsetMs).to.equal(offsetMs + 2000);
		expect(time.read()).to.equal(1_000_000);
		clock.setSystemTime(1_000_010);
		expect(time.read()).to.equal(1_000_010);
	});
});
