import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {DrainNotice} from '../src/drain-notice.js';

describe('DrainNotice', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function measure(notice: DrainNotice): Promise<number> {
		const start = clock.now;
		let endedAt = Number.NaN;
		void notice.waitForBalancer().then(() => {
			endedAt = clock.now;
		});
		await clock.tickAsync(60_000);
		return endedAt - start;
	}

	it('delays the shutdown if a load balancer checks regularly', async () => {
		const notice = new DrainNotice();
		for (let i = 0; i < 5; i += 1) {
			notice.recordCheck();
			clock.tick(2000);
		}

		expect(await measure(notice)).to.equal(5000);
	});

	it('does not wait without checks, after a single check, or after checks have stopped', async () => {
		const notice = new DrainNotice();
		expect(await measure(notice)).to.equal(0);
		notice.recordCheck();
		expect(await measure(notice)).to.equal(0);
		notice.recordCheck();
		clock.tick(10_000);
		notice.recordCheck();
		clock.tick(40_000);
		expect(await measure(notice)).to.equal(0);
	});
});
