import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {HostQueue, type SlotAnswer, type Waiter} from '../src/index.js';

/** Need for a slot of an endpoint in a pool. */
type Need = {pool: string; lane: string};

describe('HostQueue', () => {
	let clock: Clock;
	let free: number;
	let takes: number;
	let blocked: string;
	let notify: () => void;
	let queue: HostQueue<Need, string>;
	let ids: number;

	beforeEach(() => {
		clock = install();
		free = 0;
		takes = 0;
		blocked = '';
		ids = 0;
		const listeners = new Set<() => void>();
		notify = () => {
			for (const listener of listeners) {
				listener();
			}
		};

		queue = new HostQueue({
			getPoolName: ({pool}) => pool,
			getEligibilityKey: ({lane}) => lane,
			adapt: ({need}) => need,
			take({lane}) {
				takes += 1;
				if (free === 0 || lane === blocked) {
					return undefined;
				}

				free -= 1;
				return 'e';
			},
			getRetryDelayMs: () => 40,
			onChange(listener) {
				listeners.add(listener);
				return () => {
					listeners.delete(listener);
				};
			},
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createWaiter(changes: Partial<Waiter<Need>> = {}): Waiter<Need> {
		ids += 1;
		return {
			id: `w${ids}`, kind: 'call', need: {pool: 's', lane: 'l'}, urgency: 0, turn: 'a', weight: 1, dueAt: performance.now() + 100,
			deadlineAt: performance.now() + 50, workMs: 20, ...changes,
		};
	}

	/** Starts waiting and records the answer under a name. */
	function wait(answers: Record<string, SlotAnswer<string>['kind']>, name: string, changes: Partial<Waiter<Need>> = {}, signal = new AbortController().signal): void {
		void (async () => {
			const {kind} = await queue.wait(createWaiter(changes), signal);
			answers[name] = kind;
		})();
	}

	async function setFree(slots: number): Promise<void> {
		free = slots;
		notify();
		await clock.tickAsync(1);
	}

	it('grants a free slot at once', async () => {
		free = 1;
		expect(await queue.wait(createWaiter(), new AbortController().signal)).to.deep.equal({kind: 'granted', endpoint: 'e'});
	});

	it('searches once per eligibility key after a change, and grants in order', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		for (let i = 0; i < 1000; i++) {
			wait(answers, `w${i}`, {urgency: i === 999 ? 0 : 1});
		}

		await clock.tickAsync(1);
		const before = takes;
		await setFree(1);
		expect([answers, takes - before]).to.deep.equal([{w999: 'granted'}, 2]);
	});

	it('serves another need while no endpoint is free for the first', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		blocked = 'b';
		wait(answers, 'first', {need: {pool: 's', lane: 'b'}});
		wait(answers, 'second', {urgency: 3});
		await setFree(2);
		expect(answers).to.deep.equal({second: 'granted'});
	});

	it('finds a slot that became free without a notification, as at the end of a pause', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		wait(answers, 'w');
		free = 1;
		await clock.tickAsync(25);
		expect(answers).to.deep.equal({w: 'granted'});
	});

	it('withdraws waiters at their deadline and when they are aborted, and takes no slot for them', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		const controller = new AbortController();
		wait(answers, 'left', {}, controller.signal);
		wait(answers, 'expired');
		controller.abort();
		await clock.tickAsync(60);
		await setFree(2);
		expect([answers, free, queue.size]).to.deep.equal([{left: 'left', expired: 'expired'}, 2, 0]);
	});

	it('refuses refusable waiters at once that can not be served by their deadline, and lets others wait', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		for (let i = 0; i < 100; i++) {
			wait(answers, `w${i}`, {isRefusable: true, turn: 'large'});
		}

		wait(answers, 'small', {isRefusable: true, turn: 'small'});
		wait(answers, 'score', {turn: 'large'});
		await clock.tickAsync(1);
		const refused = Object.values(answers);
		expect(new Set(refused)).to.deep.equal(new Set(['refused']));
		expect(refused.length).to.be.within(55, 65);
		expect([answers.small, answers.score]).to.deep.equal([undefined, undefined]);
	});

	it('lets fewer waiters in as the queue drains more slowly', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		for (let i = 0; i < 100; i++) {
			wait(answers, `w${i}`, {deadlineAt: performance.now() + 10_000});
		}

		for (let i = 0; i < 30; i++) {
			// eslint-disable-next-line no-await-in-loop
			await setFree(1);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(100);
		}

		wait(answers, 'refused', {isRefusable: true, deadlineAt: performance.now() + 400});
		await clock.tickAsync(1);
		expect(answers.refused).to.equal('refused');
	});

	it('lists waiters by flow with the longest wait, and counts answers', async () => {
		const answers: Record<string, SlotAnswer<string>['kind']> = {};
		wait(answers, 'a');
		await clock.tickAsync(10);
		wait(answers, 'b', {kind: 'text'});
		await clock.tickAsync(5);
		expect(queue.listFlows()).to.deep.equal([{
			turn: 'a', urgency: 0, waiting: 2, oldestMs: 15,
		}]);
		await setFree(2);
		expect(queue.counts).to.deep.equal([{kind: 'call', answer: 'granted', count: 1}, {kind: 'text', answer: 'granted', count: 1}]);
	});
});
