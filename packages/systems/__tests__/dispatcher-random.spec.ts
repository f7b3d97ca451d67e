import process from 'node:process';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import type {AnswerEvent, Message, MessageOf} from '@wasabiusher/link';
import {createSilentLog, Random, type Problem} from '@wasabiusher/shared';
import {
	Dispatcher, Invariants, type Call, type CallRecord, type Run,
} from '../src/index.js';
import {createCall, createParts, createStatus} from './dispatcher-fixtures.js';

type Execution = {
	open: MessageOf<'open'>;
	state: 'waiting' | 'running' | 'ended';
	events: AnswerEvent[];
	outcome?: Message;
};

/** An agent that reports correctly over a link that the test interrupts. It records which calls really ran. */
class ModelAgent {
	/** Number of runs that this agent's endpoint started, by request. */
	readonly ran = new Map<string, number>();
	isUp = true;
	isLeaving = false;
	/** Number of the current link. Messages in flight on an older link are lost. */
	link = 0;
	#executions = new Map<string, Execution>();
	readonly #name: string;
	readonly #deliver: (message: Message) => void;

	constructor(name: string, deliver: (message: Message) => void) {
		this.#name = name;
		this.#deliver = deliver;
	}

	receive(message: Message): void {
		const handlers: Partial<{[Kind in Message['kind']]: (message: MessageOf<Kind>) => void}> = {
			open: open => {
				this.#open(open);
			},
			cancel: cancel => {
				this.#cancel(cancel);
			},
			resume: resume => {
				this.#resume(resume);
			},
		};
		(handlers[message.kind] as ((message: Message) => void) | undefined)?.(message);
	}

	/** Advances one of its executions by one step. */
	advance(choice: number, how: 'go' | 'fail' | 'crash'): void {
		const open = [...this.#executions.values()].filter(({state}) => state !== 'ended');
		const execution = open[choice % Math.max(1, open.length)];
		if (!execution) {
			return;
		}

		if (execution.state === 'waiting') {
			this.#start(execution);
		} else if (how === 'go') {
			this.#emit(execution);
		} else {
			this.#end(execution, {
				kind: 'failed', request: execution.open.request, attempt: execution.open.attempt, ran: 'unknown', reason: how, hasCrashed: how === 'crash',
			});
		}
	}

	/** Discards all executions; the record of runs stays. */
	restart(): void {
		this.#executions = new Map();
	}

	#open(open: MessageOf<'open'>): void {
		const {request, attempt} = open;
		if (this.isLeaving) {
			this.#send({
				kind: 'refused', request, attempt, reason: 'leaving',
			});
			return;
		}

		this.#executions.set(`${request} ${attempt}`, {open, state: 'waiting', events: []});
	}

	#cancel({request, attempt}: MessageOf<'cancel'>): void {
		const execution = this.#executions.get(`${request} ${attempt}`);
		if (execution && execution.state !== 'ended') {
			this.#end(execution, execution.state === 'waiting'
				? {
					kind: 'refused', request, attempt, reason: 'cancelled',
				}
				: {kind: 'stopped', request, attempt});
		}
	}

	#resume({request, attempt, next}: MessageOf<'resume'>): void {
		const execution = this.#executions.get(`${request} ${attempt}`);
		if (!execution) {
			this.#send({
				kind: 'failed', request, attempt, ran: 'unknown', reason: 'not held', hasCrashed: false,
			});
			return;
		}

		for (const [sequence, event] of execution.events.entries()) {
			if (sequence >= next) {
				this.#send({
					kind: 'part', request, attempt, sequence, event,
				});
			}
		}

		if (execution.outcome) {
			this.#send(execution.outcome);
		}
	}

	#start(execution: Execution): void {
		const {request, attempt} = execution.open;
		execution.state = 'running';
		this.ran.set(request, (this.ran.get(request) ?? 0) + 1);
		this.#send({kind: 'started', request, attempt});
	}

	/** Sends the next of three parts, which name their attempt, or the end. */
	#emit(execution: Execution): void {
		const {request, attempt} = execution.open;
		const sequence = execution.events.length;
		const event: AnswerEvent = sequence === 3 ? {kind: 'finished', reason: 'stop'} : createParts(`${this.#name}#${attempt}:${sequence} `);
		execution.events.push(event);
		execution.state = sequence === 3 ? 'ended' : 'running';
		this.#send({
			kind: 'part', request, attempt, sequence, event,
		});
	}

	#end(execution: Execution, outcome: Message): void {
		execution.state = 'ended';
		execution.outcome = outcome;
		this.#send(outcome);
	}

	#send(message: Message): void {
		if (this.isUp) {
			this.#deliver(message);
		}
	}
}

type Caller = {call: Call; run: Run; text: string; isWhole: boolean; ends: number; problem?: Problem; isCancelled: boolean};

/** One-way delay, in milliseconds. */
const delayMs = 5;

/** The dispatcher under test, with three agents and its callers. */
class Simulation {
	readonly agents = new Map<string, ModelAgent>();
	readonly callers: Caller[] = [];
	readonly records: CallRecord[] = [];
	readonly violations: string[] = [];
	readonly dispatcher: Dispatcher;

	constructor() {
		const log = createSilentLog();
		log.error = (event, values) => {
			this.violations.push(`${event} ${JSON.stringify(values)}`);
		};

		this.dispatcher = new Dispatcher({
			random: new Random(1),
			invariants: new Invariants(log),
			send: (agent, message) => this.#send(agent, message),
			onEnded: record => {
				this.records.push(record);
			},
		});
		for (const name of ['a1', 'a2', 'a3']) {
			this.agents.set(name, new ModelAgent(name, message => {
				this.#deliverLater(name, () => {
					this.dispatcher.receive(name, message);
				});
			}));
			this.attach(name);
		}
	}

	submit(isIdempotent: boolean, canRestart: boolean, isHedged: boolean): void {
		const call = {...createCall(`c${this.callers.length}`, {idempotent: isIdempotent, hedge: isHedged && isIdempotent}), fingerprint: `f${this.callers.length}`};
		const caller: Caller = {
			call, run: {cancel: () => undefined}, text: '', isWhole: false, ends: 0, isCancelled: false,
		};
		this.callers.push(caller);
		caller.run = this.dispatcher.submit(call, {
			onEvent(event) {
				if (event.kind === 'parts') {
					caller.text += event.parts.map(({text}) => text).join('');
				} else {
					caller.isWhole = true;
					caller.ends += 1;
				}
			},
			onRestart() {
				caller.text = canRestart ? '' : caller.text;
				return canRestart || caller.text === '';
			},
			onFailed(problem) {
				caller.problem = problem;
				caller.ends += 1;
			},
		});
	}

	attach(name: string): void {
		this.agents.get(name)!.isUp = true;
		this.dispatcher.attach(name, 'tomakomai');
		this.dispatcher.receive(name, {kind: 'status', status: createStatus({isLeaving: this.agents.get(name)!.isLeaving})});
	}

	detach(name: string): void {
		this.agents.get(name)!.isUp = false;
		this.agents.get(name)!.link += 1;
		this.dispatcher.detach(name);
	}

	countRuns(request: string): number {
		return [...this.agents.values()].reduce((sum, {ran}) => sum + (ran.get(request) ?? 0), 0);
	}

	#send(name: string, message: Message): boolean {
		const agent = this.agents.get(name)!;
		if (agent.isUp) {
			this.#deliverLater(name, () => {
				agent.receive(message);
			});
		}

		return agent.isUp;
	}

	/** Delivers a message in order after a delay, or never if the link is lost in the meantime. */
	#deliverLater(name: string, deliver: () => void): void {
		const agent = this.agents.get(name)!;
		const {link} = agent;
		setTimeout(() => {
			if (agent.link === link) {
				deliver();
			}
		}, delayMs);
	}
}

const agentNames = fc.constantFrom('a1', 'a2', 'a3');

type Action = (simulation: Simulation, clock: Clock) => Promise<void> | void;

const actions: fc.Arbitrary<Action> = fc.oneof(
	{
		weight: 4, arbitrary: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()).map(([isIdempotent, canRestart, isHedged]): Action => simulation => {
			simulation.submit(isIdempotent, canRestart, isHedged);
		}),
	},
	{
		weight: 12, arbitrary: fc.tuple(agentNames, fc.nat(5), fc.constantFrom('go', 'go', 'go', 'fail', 'crash')).map(([name, choice, how]): Action => simulation => {
			simulation.agents.get(name)!.advance(choice, how);
		}),
	},
	{
		weight: 2, arbitrary: agentNames.map((name): Action => simulation => {
			simulation.detach(name);
		}),
	},
	{
		weight: 3, arbitrary: agentNames.map((name): Action => simulation => {
			simulation.attach(name);
		}),
	},
	{
		weight: 1, arbitrary: agentNames.map((name): Action => simulation => {
			simulation.agents.get(name)!.restart();
			simulation.detach(name);
		}),
	},
	{
		weight: 1, arbitrary: fc.tuple(agentNames, fc.boolean()).map(([name, isLeaving]): Action => simulation => {
			simulation.agents.get(name)!.isLeaving = isLeaving;
		}),
	},
	{
		weight: 1, arbitrary: fc.nat(20).map((choice): Action => simulation => {
			const caller = simulation.callers[choice % Math.max(1, simulation.callers.length)];
			if (caller?.ends === 0) {
				caller.isCancelled = true;
				caller.run.cancel();
			}
		}),
	},
	{
		weight: 6, arbitrary: fc.nat(400).map((ms): Action => async (_simulation, clock) => {
			await clock.tickAsync(ms);
		}),
	},
);

function check(simulation: Simulation): void {
	expect(simulation.violations).to.deep.equal([]);
	expect(simulation.records).to.have.lengthOf(simulation.callers.length);
	for (const {call, ends, isCancelled, isWhole, text, problem} of simulation.callers) {
		const runs = simulation.countRuns(call.id);
		expect(ends, `ends of ${call.id}`).to.equal(isCancelled ? 0 : 1);
		if (!call.profile.idempotent) {
			expect(runs, `runs of ${call.id}`).to.be.at.most(1);
		}

		if (problem?.ran === 'no') {
			expect(runs, `${call.id} was reported as not run`).to.equal(0);
		}

		if (isWhole) {
			// All parts of one attempt in order, and no others.
			expect(text).to.match(/^(a\d#\d+):0 \1:1 \1:2 $/v);
		}
	}
}

describe('Dispatcher in random runs', () => {
	it('ends each call once and reports correctly whether it ran, whatever links, agents and callers do', async () => {
		await fc.assert(fc.asyncProperty(fc.array(actions, {minLength: 10, maxLength: 200, size: 'max'}), async sequence => {
			const clock = install();
			try {
				const simulation = new Simulation();
				for (const act of sequence) {
					// eslint-disable-next-line no-await-in-loop
					await act(simulation, clock);
					// eslint-disable-next-line no-await-in-loop
					await clock.tickAsync(0);
				}

				await clock.tickAsync(60_000);
				check(simulation);
			} finally {
				clock.uninstall();
			}
		}), {numRuns: Number(process.env.RUNS ?? 300), seed: Number(process.env.SEED ?? 1)});
	});
});
