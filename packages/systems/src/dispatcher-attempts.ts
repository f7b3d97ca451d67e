/**
 * All attempts of an entry that have not settled, those whose stop is awaited among them,
 * and the account of them at their endpoints.
 */
import type {Message, MessageOf} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import type {Call} from './call.js';
import {Attempt, formatAttemptKey, type AttemptMessage} from './dispatcher-attempt.js';
import type {EndpointTable} from './dispatcher-endpoints.js';
import type {Evidence} from './dispatcher-evidence.js';
import type {Pools} from './dispatcher-pools.js';
import type {AttemptOwner} from './dispatcher-run-context.js';

/** Kinds of messages that concern one attempt. */
const attemptKinds: ReadonlySet<Message['kind']> = new Set(['part', 'refused', 'failed', 'stopped', 'started']);

export function isAttemptMessage(message: Message): message is AttemptMessage {
	return attemptKinds.has(message.kind);
}

export type AttemptsSettings = {
	endpoints: EndpointTable;
	pools: Pools;
	evidence: Evidence;
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
};

export class Attempts {
	readonly #settings: AttemptsSettings;
	readonly #table = new Table<Attempt>();

	constructor(settings: AttemptsSettings) {
		this.#settings = settings;
	}

	/** Makes an attempt, which takes its place at the endpoint until it settles. */
	create(call: Call, number: number, endpoint: string, owner: AttemptOwner): Attempt {
		const {endpoints, pools, evidence, send} = this.#settings;
		const row = endpoints.get(endpoint)!;
		const attempt: Attempt = new Attempt({
			request: call.id,
			number,
			endpoint,
			send: message => send(endpoint, message),
			onEvent(event) {
				owner.onEvent(attempt, event);
			},
			onStopping() {
				row.open -= 1;
				row.draining += 1;
				pools.resize(call.service);
				evidence.recordStopping(call, attempt);
			},
			onSettled: (outcome, wasStopping) => {
				this.#table.remove(attempt.id);
				row[wasStopping ? 'draining' : 'open'] -= 1;
				row.load.recordEnded(performance.now());
				if (wasStopping) {
					pools.resize(call.service);
				} else {
					evidence.recordEnd(call, attempt, outcome);
				}

				owner.onSettled(attempt, outcome);
			},
		});
		row.open += 1;
		row.load.recordSent(performance.now());
		return this.#table.put(attempt);
	}

	/** Takes a message of an agent; one from elsewhere is not part of an answer, whatever it names. */
	receive(agent: string, message: AttemptMessage): void {
		const attempt = this.#table.get(formatAttemptKey(message.request, message.attempt));
		if (attempt?.endpoint === agent) {
			attempt.receive(message);
		}
	}

	/** An agent's link was replaced. */
	relink(agent: string): void {
		for (const attempt of this.#table.filter(({endpoint}) => endpoint === agent)) {
			attempt.relink();
		}
	}

	/** Nothing more will be heard of an agent's attempts in these states. */
	abandon(agent: string, states: ReadonlyArray<'open' | 'stopping'>): void {
		for (const attempt of this.#table.filter(({endpoint, state}) => endpoint === agent && state !== 'settled' && states.includes(state))) {
			attempt.abandon('the link to the endpoint was lost');
		}
	}
}

/** The request of an attempt, as agents take it. */
export function createOpen(call: Call, attempt: number, isSuspect: boolean): MessageOf<'open'> {
	const {profile} = call;
	return {
		kind: 'open',
		request: call.id,
		attempt,
		work: call.work,
		service: call.service,
		caller: call.caller,
		profile: call.profileName,
		class: profile.class,
		priority: profile.priority,
		share: profile.share,
		cost: call.cost,
		remainingMs: call.deadlineAt - performance.now(),
		isIdempotent: profile.idempotent,
		fingerprint: call.fingerprint,
		isSuspect,
	};
}
