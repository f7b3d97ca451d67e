/**
 * What an agent knows of requests that crash endpoints.
 *
 * The agent is the witness: it knows what was in flight at a crash, from whichever entries it came. Entries
 * of one pool share agents, so what one agent tells reaches all of them in a few hops.
 */
import {PoisonGuard, type Verdict} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';
import {SuspicionExchange} from '@wasabiusher/systems';

/** Sends to all linked entries but one. */
export type Broadcast = (message: Message, except?: string) => void;

/** The exchange of suspicions, as the witness of one endpoint takes part in it. */
export class PoisonRelay {
	readonly #endpoint: string;
	readonly #exchange: SuspicionExchange;

	/** @param endpoint - names this endpoint in the record of a crash */
	constructor(endpoint: string, broadcast: Broadcast) {
		this.#endpoint = endpoint;
		this.#exchange = new SuspicionExchange({guard: new PoisonGuard(), broadcast});
	}

	/** How a request with this content may run. */
	judge(fingerprint: string): Verdict['kind'] {
		return this.#exchange.judge(fingerprint).kind;
	}

	recordCrash(incarnation: string, fingerprints: readonly string[]): void {
		this.#exchange.recordCrash({endpoint: this.#endpoint, incarnation, fingerprints});
	}

	/** What finishes did not crash anything; entries are told if they might think so. */
	recordFinished(fingerprint: string): void {
		this.#exchange.recordFinished(fingerprint);
	}

	/** Takes what an entry knows, and passes on what is news here. */
	receive(message: MessageOf<'suspicions'>, from: string): void {
		this.#exchange.receive(from, message);
	}

	/** For an entry whose link comes up. */
	list(): MessageOf<'suspicions'>['suspicions'] {
		return this.#exchange.createGreeting()?.suspicions ?? [];
	}
}
