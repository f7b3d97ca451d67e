import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {
	array, assert, asyncProperty, boolean, constantFrom, integer, nat, oneof, record,
} from 'fast-check';
import type {Message} from '@wasabiusher/link';
import {PlatformError} from '@wasabiusher/backends';
import {
	createExecutor, createOpen, createToken, FakeEngine, lastToken, type FakeRun,
} from './executor-fixtures.js';

const limit = 3;
const requests = 6;

/** One random step. Run numbers are taken modulo the number of live runs. */
const stepArbitrary = oneof(
	record({
		kind: constantFrom('open' as const), request: nat(requests - 1), attempt: integer({min: 1, max: 2}), isIdempotent: boolean(), isSuspect: boolean(),
	}),
	record({kind: constantFrom('cancel' as const), request: nat(requests - 1), attempt: integer({min: 1, max: 2})}),
	record({kind: constantFrom('resume' as const), request: nat(requests - 1), attempt: integer({min: 1, max: 2})}),
	record({kind: constantFrom('token' as const, 'finish' as const, 'break' as const, 'refuse' as const), run: nat(20)}),
	record({kind: constantFrom('crash' as const, 'detach' as const, 'attach' as const, 'mute' as const, 'speak' as const)}),
	record({kind: constantFrom('wait' as const), waitMs: constantFrom(1, 100, 3000)}),
);

/** Whether each request is idempotent, by its name. Fixed when the request is first opened. */
type IdempotentRequests = Map<string, boolean>;

const entry = 'entry-1';

const nameRequest = (request: number) => `r${request}`;

/** An engine that counts its live runs. A run ends by its stream, a confirmed cancellation or a crash. */
class CountingEngine extends FakeEngine {
	readonly live = new Map<string, FakeRun>();
	readonly started: string[] = [];
	maxLive = 0;
	isMute = false;

	override generate(...given: Parameters<FakeEngine['generate']>): ReturnType<FakeEngine['generate']> {
		const feed = super.generate(...given);
		const run = this.runs.at(-1)!;
		this.live.set(run.options.requestId, run);
		this.started.push(run.options.requestId);
		this.maxLive = Math.max(this.maxLive, this.live.size);
		return feed;
	}

	override async cancel(requestId: string): Promise<boolean> {
		if (this.isMute) {
			throw new PlatformError('unknown', 'no answer');
		}

		return this.live.delete(requestId);
	}

	end(index: number, how: (run: FakeRun) => void): void {
		const run = [...this.live.values()][index % Math.max(1, this.live.size)];
		if (run) {
			this.live.delete(run.options.requestId);
			how(run);
		}
	}
}

function isEnd(message: Message): boolean {
	return message.kind === 'refused' || message.kind === 'failed' || message.kind === 'stopped'
		|| (message.kind === 'part' && message.event.kind === 'finished');
}

describe('Executor in random runs', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('never exceeds its limit, runs non-idempotent requests at most once, ends all requests and reports correctly what ran', async () => {
		await assert(asyncProperty(array(stepArbitrary, {minLength: 20, maxLength: 100}), async steps => {
			const engine = new CountingEngine();
			const {executor, list} = createExecutor({endpoint: {kind: 'model', engine}, limit, maxWaiting: 100});
			const idempotentRequests: IdempotentRequests = new Map();
			const opened = new Set<string>();
			const handlers: {[Kind in (typeof steps)[number]['kind']]: (step: Extract<(typeof steps)[number], {kind: Kind}>) => void | Promise<void>} = {
				open({request, attempt, isIdempotent, isSuspect}) {
					const name = nameRequest(request);
					idempotentRequests.set(name, idempotentRequests.get(name) ?? isIdempotent);
					opened.add(`${name}.${attempt}`);
					executor.open(entry, createOpen(name, {
						attempt, isSuspect, isIdempotent: idempotentRequests.get(name), remainingMs: 120_000,
					}));
				},
				cancel({request, attempt}) {
					executor.cancel(entry, {request: nameRequest(request), attempt});
				},
				resume({request, attempt}) {
					executor.resume(entry, {
						kind: 'resume', request: nameRequest(request), attempt, next: 0,
					});
				},
				token({run}) {
					[...engine.live.values()][run % Math.max(1, engine.live.size)]?.feed.push(createToken('t'));
				},
				finish({run}) {
					engine.end(run, ({feed}) => {
						feed.push(lastToken);
					});
				},
				break({run}) {
					engine.end(run, ({feed}) => {
						feed.fail(new PlatformError('unknown', 'reset'));
					});
				},
				refuse({run}) {
					engine.end(run, ({feed}) => {
						feed.fail(new PlatformError('refused', 'no such model'));
					});
				},
				crash() {
					engine.live.clear();
					executor.crash();
				},
				detach() {
					executor.detach(entry);
				},
				attach() {
					executor.attach(entry);
				},
				mute() {
					engine.isMute = true;
				},
				speak() {
					engine.isMute = false;
				},
				async wait({waitMs}) {
					await clock.tickAsync(waitMs);
				},
			};
			for (const step of steps) {
				// Steps are sequential. The table pairs each kind with its handler.
				// eslint-disable-next-line no-await-in-loop
				await (handlers[step.kind] as (given: typeof step) => void | Promise<void>)(step);
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(0);
			}

			engine.isMute = false;
			const drained = executor.drain();
			while (engine.live.size > 0) {
				engine.end(0, ({feed}) => {
					feed.push(lastToken);
				});
			}

			await clock.tickAsync(15_000);
			await drained;
			expect(engine.maxLive, 'runs at the engine').to.be.at.most(limit);
			expect(executor.describe()).to.include({
				running: 0, waiting: 0, draining: 0, interactive: 0, waitingWork: 0,
			});
			for (const id of opened) {
				const [name, attempt] = id.split('.');
				const ends = list(name!).filter(message => 'attempt' in message && message.attempt === Number(attempt) && isEnd(message));
				expect(ends, `ends of ${id}`).not.to.deep.equal([]);
				const isReportedNotRun = ends.some(message => message.kind === 'refused' && message.reason !== 'not-received');
				expect(isReportedNotRun && engine.started.includes(id), `${id} was reported as not run but was started`).to.equal(false);
			}

			for (const [name, isIdempotent] of idempotentRequests) {
				const runs = engine.started.filter(id => id.startsWith(`${name}.`));
				const isProvenNot = list(name).some(message => message.kind === 'failed' && message.ran === 'no');
				expect(isIdempotent || isProvenNot || runs.length <= 1, `${name} ran ${runs.length} times`).to.equal(true);
			}

			executor.close();
			expect(clock.countTimers(), 'timers left').to.equal(0);
		}), {numRuns: 500, seed: 7});
	});
});
