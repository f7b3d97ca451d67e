/**
 * Records and exchanges suspicions against poison requests, the requests that crash endpoints.
 *
 * Only the agent knows all requests that were in flight at a crash, since they come from several entries. Entries of
 * one pool share agents, so the suspicions of one agent reach all of them in a few hops.
 */
import {PoisonGuard, type Verdict} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';
import {SuspicionExchange} from '@wasabiusher/systems';

/** Sends a message to all linked entries except one. */
export type Broadcast = (message: Message, except?: string) => void;

/** Takes part in the exchange of suspicions on behalf of one endpoint. */
export class PoisonRelay {
	readonly #endpoint: string;
	readonly #exchange: SuspicionExchange;

	/** @param endpoint - name of this endpoint in crash records */
	constructor(endpoint: string, broadcast: Broadcast) {
		this.#endpoint = endpoint;
		this.#exchange = new SuspicionExchange({guard: new PoisonGuard(), broadcast});
	}

	/** Returns how a request with this fingerprint may run. */
	judge(fingerprint: string): Verdict['kind'] {
		return this.#exchange.judge(fingerprint).kind;
	}

	recordCrash(incarnation: string, fingerprints: readonly string[]): void {
		this.#exchange.recordCrash({endpoint: this.#endpoint, incarnation, fingerprints});
	}

	/** Clears a suspicion: a request that finishes has not crashed the endpoint. Notifies entries that may suspect it. */
	recordFinished(fingerprint: string): void {
		this.#exchange.recordFinished(fingerprint);
	}

	/** Merges the suspicions of an entry, and forwards those that were unknown here. */
	receive(message: MessageOf<'suspicions'>, from: string): void {
		this.#exchange.receive(from, message);
	}

	/** Returns the suspicions to send to an entry whose link came up. */
	list(): MessageOf<'suspicions'>['suspicions'] {
		return this.#exchange.createSnapshot()?.suspicions ?? [];
	}
}
