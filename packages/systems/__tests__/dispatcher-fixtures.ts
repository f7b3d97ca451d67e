import type {
	AnswerEvent, EndpointStatus, Message, MessageKind, MessageOf,
} from '@wasabiusher/link';
import {profileSchema, Random, type Problem} from '@wasabiusher/shared';
import {
	Dispatcher, type Call, type CallRecord, type Run,
} from '../src/index.js';

export type Sent = {agent: string; message: Message};

export type Fixture = {
	dispatcher: Dispatcher;
	sent: Sent[];
	/** Messages that were broadcast, with the agent that was left out. */
	broadcasts: Array<{message: Message; except?: string}>;
	records: CallRecord[];
	down: Set<string>;
	/** Messages of one kind, oldest first. */
	list<Kind extends MessageKind>(kind: Kind): Array<{agent: string; message: MessageOf<Kind>}>;
};

export type Received = {events: string[]; problems: Problem[]; run: Run};

export function createStatus(changes: Partial<EndpointStatus> = {}): EndpointStatus {
	return {
		service: 'models',
		models: [{model: 'trail', version: 3}],
		role: 'any',
		limit: 4,
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

export function createFixture(agents: string[], dataCentre = 'tomakomai'): Fixture {
	const sent: Sent[] = [];
	const records: CallRecord[] = [];
	const broadcasts: Fixture['broadcasts'] = [];
	const down = new Set<string>();
	const dispatcher = new Dispatcher({
		random: new Random(1),
		dataCentre,
		send(agent, message) {
			if (down.has(agent)) {
				return false;
			}

			sent.push({agent, message});
			return true;
		},
		broadcast(message, except) {
			broadcasts.push({message, except});
		},
		onEnded(record) {
			records.push(record);
		},
	});
	for (const agent of agents) {
		dispatcher.attach(agent, dataCentre);
		dispatcher.receive(agent, {kind: 'status', status: createStatus()});
	}

	return {
		dispatcher,
		sent,
		broadcasts,
		records,
		down,
		list: kind => sent.filter(({message}) => message.kind === kind) as never,
	};
}

export function createCall(id: string, profile: Record<string, unknown> = {}): Call {
	return {
		id,
		service: 'models',
		model: 'trail',
		work: {kind: 'generate', request: {model: 'trail', prompt: 'bridge', maxTokens: 8}},
		caller: 'ranger',
		profileName: 'rangers',
		profile: profileSchema.parse({
			class: 'interactive', idempotent: true, deadlineMs: 10_000, ...profile,
		}),
		deadlineAt: performance.now() + 10_000,
		cost: 8,
		fingerprint: 'f1',
	};
}

export function submit({dispatcher}: Fixture, call: Call, canRestart = true): Received {
	const events: string[] = [];
	const problems: Problem[] = [];
	const run = dispatcher.submit(call, {
		onEvent(event) {
			events.push(event.kind === 'parts' ? event.parts.map(({text}) => text).join('') : event.kind);
		},
		onRestart() {
			if (canRestart) {
				events.length = 0;
			}

			return canRestart;
		},
		onFailed(problem) {
			problems.push(problem);
		},
	});
	return {events, problems, run};
}

export function createParts(text: string): AnswerEvent {
	return {kind: 'parts', parts: [{text, tokens: 1, version: 3}]};
}

/** Identifies the latest attempt that was sent. */
export function findLatest({list}: Fixture): {agent: string; request: string; attempt: number} {
	const {agent, message} = list('open').at(-1)!;
	return {agent, request: message.request, attempt: message.attempt};
}

export function sendPart(fixture: Fixture, sequence: number, event: AnswerEvent, from = findLatest(fixture)): void {
	const {agent, request, attempt} = from;
	fixture.dispatcher.receive(agent, {
		kind: 'part', request, attempt, sequence, event,
	});
}

export function sendFailed(fixture: Fixture, ran: 'no' | 'unknown', from = findLatest(fixture)): void {
	const {agent, request, attempt} = from;
	fixture.dispatcher.receive(agent, {
		kind: 'failed', request, attempt, ran, reason: 'crashed', hasCrashed: true,
	});
}

export function sendRefused(fixture: Fixture, reason: MessageOf<'refused'>['reason'], from = findLatest(fixture)): void {
	const {agent, request, attempt} = from;
	fixture.dispatcher.receive(agent, {
		kind: 'refused', request, attempt, reason,
	});
}
