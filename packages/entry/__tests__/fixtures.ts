import {HttpServer} from '@wasabiusher/daemon';
import type {
	AnswerEvent, EndpointStatus, Message, MessageOf,
} from '@wasabiusher/link';
import {configurationSchema, Random, type Configuration} from '@wasabiusher/shared';
import {Dispatcher, type CallRecord} from '@wasabiusher/systems';
import {answerError} from '../src/answers.js';
import {addCallerRoutes} from '../src/caller-routes.js';

/** Responds to one attempt like an agent. */
export type Reply = {
	open: MessageOf<'open'>;
	part(event: AnswerEvent): void;
	fail(ran: 'no' | 'unknown'): void;
	refuse(reason: MessageOf<'refused'>['reason']): void;
};

export type Routes = {
	origin: string;
	dispatcher: Dispatcher;
	/** Messages sent to agents. */
	sent: Message[];
	records: CallRecord[];
	stop(): Promise<void>;
};

export function createConfiguration(): Configuration {
	return configurationSchema.parse({
		profiles: {
			ranger: {class: 'interactive', idempotent: true, deadlineMs: 5000},
			posting: {class: 'interactive', idempotent: false, deadlineMs: 5000},
		},
		services: {models: {kind: 'model', models: ['trail']}, ledger: {kind: 'plain'}},
	});
}

export function createStatus(changes: Partial<EndpointStatus> = {}): EndpointStatus {
	return {
		service: 'models',
		models: [{model: 'trail', version: 3}],
		role: 'any',
		limit: 8,
		running: 0,
		waiting: 0,
		waitingWork: 0,
		workPerSecond: 100,
		isLeaving: false,
		isHealthy: true,
		configurationVersion: 1,
		fence: 0,
		...changes,
	};
}

/** Serves the callers' routes on a real socket, with a dispatcher whose agents respond as scripted by the test. */
export async function startRoutes(answer: (reply: Reply) => void): Promise<Routes> {
	const sent: Message[] = [];
	const records: CallRecord[] = [];
	const dispatcher: Dispatcher = new Dispatcher({
		random: new Random(1),
		send(agent, message) {
			sent.push(message);
			if (message.kind === 'open') {
				setImmediate(() => {
					answer(createReply(dispatcher, agent, message));
				});
			}

			return true;
		},
		onEnded(record) {
			records.push(record);
		},
	});
	for (const [agent, service] of [['agent-models', 'models'], ['agent-ledger', 'ledger']] as const) {
		dispatcher.attach(agent, 'innsbruck-a');
		dispatcher.receive(agent, {kind: 'status', status: createStatus({service})});
	}

	const server = new HttpServer(answerError);
	const configuration = createConfiguration();
	addCallerRoutes(server, {submit: (call, listener) => dispatcher.submit(call, listener), configuration: () => configuration});
	return {
		origin: `http://${await server.listen('127.0.0.1:0')}`,
		dispatcher,
		sent,
		records,
		async stop() {
			await server.kill();
		},
	};
}

function createReply(dispatcher: Dispatcher, agent: string, open: MessageOf<'open'>): Reply {
	const {request, attempt} = open;
	let sequence = 0;
	return {
		open,
		part(event) {
			dispatcher.receive(agent, {
				kind: 'part', request, attempt, sequence, event,
			});
			sequence += 1;
		},
		fail(ran) {
			dispatcher.receive(agent, {
				kind: 'failed', request, attempt, ran, reason: 'the engine crashed', hasCrashed: true,
			});
		},
		refuse(reason) {
			dispatcher.receive(agent, {
				kind: 'refused', request, attempt, reason,
			});
		},
	};
}

export function createParts(text: string): AnswerEvent {
	return {kind: 'parts', parts: [{text, tokens: 1, version: 3}]};
}

/** Resolves when the condition holds; the timeout of the test runner bounds the wait. */
export async function waitUntil(test: () => boolean): Promise<void> {
	while (!test()) {
		// Polls sequentially.
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
