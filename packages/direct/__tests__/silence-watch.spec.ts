import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SilenceWatch} from '../src/silence-watch.js';

describe('SilenceWatch', () => {
	let clock: Clock;
	let stop: AbortController;
	let watch: SilenceWatch;

	beforeEach(() => {
		clock = install();
		stop = new AbortController();
		watch = new SilenceWatch(stop, () => Number.NEGATIVE_INFINITY);
		watch.recordReceived();
	});

	afterEach(() => {
		watch.end();
		clock.uninstall();
	});

	it('aborts a run after a second without an event', () => {
		clock.tick(900);
		expect(stop.signal.aborted).to.equal(false);
		clock.tick(200);
		expect(stop.signal.aborted).to.equal(true);
	});

	it('does not count the event-loop lag of this process', () => {
		// Each check is 0.2 s late, as on an overloaded host.
		for (let i = 0; i < 3; i += 1) {
			clock.jump(450);
		}

		expect(stop.signal.aborted).to.equal(false);
		clock.tick(600);
		expect(stop.signal.aborted).to.equal(true);
	});
});
