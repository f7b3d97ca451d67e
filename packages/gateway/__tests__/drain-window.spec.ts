import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {DrainWindow} from '../src/index.js';

describe('DrainWindow', () => {
	let clock: Clock;
	let drainWindow: DrainWindow;

	beforeEach(() => {
		clock = install();
		drainWindow = new DrainWindow();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('takes every request and changes no deadline until the shutdown begins', () => {
		expect([drainWindow.takes(1e9), drainWindow.limit(1e9), drainWindow.remainingMs]).to.deep.equal([true, 1e9, Number.POSITIVE_INFINITY]);
	});

	it('takes every request while the balancer may still send some, with a deadline no later than the end', () => {
		drainWindow.begin({announcementMs: 3000, endMs: 7000});
		clock.tick(2999);
		expect([drainWindow.takes(20_000), drainWindow.limit(20_000), drainWindow.limit(5000), drainWindow.remainingMs]).to.deep.equal([true, 7000, 5000, 4001]);
	});

	it('takes only requests that end in time after that, and none at the end', () => {
		drainWindow.begin({announcementMs: 3000, endMs: 7000});
		clock.tick(3000);
		expect([7000, 7001].map(deadlineAt => drainWindow.takes(deadlineAt))).to.deep.equal([true, false]);
		clock.tick(4000);
		expect([drainWindow.takes(7000), drainWindow.remainingMs]).to.deep.equal([false, 0]);
		clock.tick(500);
		expect([drainWindow.takes(7400), drainWindow.remainingMs]).to.deep.equal([false, 0]);
	});
});
