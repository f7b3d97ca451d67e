import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AttemptBackoff} from '../src/index.js';

describe('AttemptBackoff', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('allows one attempt at a time while an endpoint loads, and all attempts soon after it has loaded', async () => {
		const loadedAt = 900;
		const backoff = new AttemptBackoff({initialMs: 50, maxMs: 150});
		let refused = 0;
		let firstSuccessAt: number | undefined;
		// Twenty samples wait; each tries as soon as it is allowed to, and is answered after 5 ms.
		const attempt = () => {
			backoff.begin();
			setTimeout(() => {
				if (performance.now() < loadedAt) {
					refused += 1;
					backoff.record();
				} else {
					firstSuccessAt ??= performance.now();
					backoff.recordSuccess();
				}

				backoff.end();
			}, 5);
		};

		for (let i = 0; i < 20; i += 1) {
			attempt();
		}

		for (let ms = 0; ms < 1200; ms += 5) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(5);
			for (let i = 0; i < 20 && backoff.canAttempt; i += 1) {
				attempt();
			}
		}

		// Twenty of these were in flight before the first refusal.
		expect(refused).to.be.below(30);
		expect(firstSuccessAt).to.be.within(loadedAt, loadedAt + 160);
	});

	it('allows the next attempt after one has ended without an answer', () => {
		const backoff = new AttemptBackoff({initialMs: 50, maxMs: 150});
		backoff.record();
		clock.tick(50);
		expect(backoff.canAttempt).to.equal(true);
		backoff.begin();
		expect(backoff.canAttempt).to.equal(false);
		backoff.end();
		expect(backoff.canAttempt).to.equal(true);
	});
});
