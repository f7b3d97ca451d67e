/**
 * Holds all attempts of an entry that have not settled, including those that wait for the confirmation
 * of their stop, and counts them at their endpoints.
 */
import type {Message, MessageOf} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import type {Call} from './call.js';
import {Attempt, formatAttemptKey, type AttemptMessage} from './dispatcher-attempt.js';
import type {EndpointTable} from './dispatcher-endpoints.js';
import type {Evidence} from './dispatcher-evidence.js';
import type {Pools} from './dispatcher-pools.js';
import type {AttemptListener} from './dispatcher-run-context.js';

/** Message kinds that concern one attempt. */
const attemptKinds: ReadonlySet<Message['kind']> = new Set(['part', 'refused', 'failed', 'stopped', 'started']);

export function isAttemptMessage(message: Message): message is AttemptMessage {
	return attemptKinds.has(message.kind);
}

export type AttemptsSettings = {
	endpoints: EndpointTable;
	pools: Pools;
	evidence: Evidence;
	/** Sends a message to the named agent. Returns false if the agent has no link. */
	send(agent: string, message: Message): boolean;
};

export class Attempts {
	readonly #settings: AttemptsSettings;
	readonly #table = new Table<Attempt>();

	constructor(settings: AttemptsSettings) {
		this.#settings = settings;
	}

	/** Creates an attempt, which counts against the capacity of its endpoint until it settles. */
	create(call: Call, number: number, endpoint: string, listener: AttemptListener): Attempt {
		const {endpoints, pools, evidence, send} = this.#settings;
		const row = endpoints.get(endpoint)!;
		const attempt: Attempt = new Attempt({
			request: call.id,
			number,
			endpoint,
			send: message => send(endpoint, message),
			onEvent(event) {
				listener.onEvent(attempt, event);
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

				listener.onSettled(attempt, outcome);
			},
		});
		row.open += 1;
		row.load.recordSent(performance.now());
		return this.#table.put(attempt);
	}

	/** Passes an agent's message on to its attempt. Ignores messages about attempts at other agents. */
	receive(agent: string, message: AttemptMessage): void {
		const attempt = this.#table.get(formatAttemptKey(message.request, message.attempt));
		if (attempt?.endpoint === agent) {
			attempt.receive(message);
		}
	}

	/** Resumes the attempts at an agent whose link was replaced. */
	relink(agent: string): void {
		for (const attempt of this.#table.filter(({endpoint}) => endpoint === agent)) {
			attempt.relink();
		}
	}

	/** Fails an agent's attempts in the given states, because the agent can no longer report on them. */
	abandon(agent: string, states: ReadonlyArray<'open' | 'stopping'>): void {
		for (const attempt of this.#table.filter(({endpoint, state}) => endpoint === agent && state !== 'settled' && states.includes(state))) {
			attempt.abandon('the link to the endpoint was lost');
		}
	}
}

/** Creates the message that opens an attempt at an agent. */
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
