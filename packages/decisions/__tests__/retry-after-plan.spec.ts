import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {RetryAfterPlan, type EndpointBacklog} from '../src/index.js';

const workMs = 100;

/**
 * Replays a burst of callers at endpoints of two slots each; a refused caller returns after its retry-after time.
 *
 * @returns total number of attempts and the time by which all are served, in milliseconds
 */
async function replay(clock: Clock, callers: number, findRetryAfterMs: (backlogs: EndpointBacklog[]) => number): Promise<{attempts: number; servedMs: number}> {
	const endpoints = [{running: 0}, {running: 0}];
	let served = 0;
	const startedAt = performance.now();
	let attempts = 0;
	let servedMs = 0;
	const attempt = () => {
		attempts += 1;
		const free = endpoints.find(({running}) => running < 2);
		if (!free) {
			setTimeout(attempt, findRetryAfterMs(endpoints.map(({running}) => ({
				slots: 2, running, waiting: 0, workMs,
			}))));
			return;
		}

		free.running += 1;
		served += 1;
		setTimeout(() => {
			free.running -= 1;
			servedMs = performance.now() - startedAt;
		}, workMs);
	};

	for (let caller = 0; caller < callers; caller += 1) {
		setTimeout(attempt, caller * 2);
	}

	await clock.tickAsync(20_000);
	expect(served).to.equal(callers);
	return {attempts, servedMs};
}

describe('RetryAfterPlan', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('serves a burst with less than half of the attempts of a common retry-after time, and not later', async () => {
		const plan = new RetryAfterPlan();
		const planned = await replay(clock, 40, backlogs => plan.plan(backlogs));
		const constant = await replay(clock, 40, () => 100);
		expect(planned.attempts).to.be.below(constant.attempts / 2);
		expect(planned.servedMs).to.be.at.most(constant.servedMs * 1.1);
	});

	it('returns the time until a slot is free, from the waiting requests and their duration', () => {
		const backlog = {
			slots: 4, running: 4, waiting: 7, workMs: 50,
		};
		expect(new RetryAfterPlan().plan([backlog])).to.equal(100);
		expect(new RetryAfterPlan().plan([backlog, {...backlog, waiting: 0}])).to.equal(20);
	});

	it('never exceeds the time that callers will wait, and has a default while nothing is known', () => {
		expect(new RetryAfterPlan().plan([{
			slots: 1, running: 1, waiting: 900, workMs: 300,
		}])).to.equal(2000);
		expect(new RetryAfterPlan().plan([])).to.equal(100);
		expect(new RetryAfterPlan().plan([{
			slots: 2, running: 2, waiting: 0, workMs: undefined,
		}])).to.equal(50);
	});

	it('starts again once the refused callers have returned', async () => {
		const plan = new RetryAfterPlan();
		const backlog = {
			slots: 1, running: 1, waiting: 0, workMs: 100,
		};
		expect([plan.plan([backlog]), plan.plan([backlog]), plan.plan([backlog])]).to.deep.equal([100, 170, 240]);
		await clock.tickAsync(1000);
		expect(plan.plan([backlog])).to.equal(100);
	});
});
