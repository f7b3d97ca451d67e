/**
 * What is known of requests that crash endpoints: judged here, and passed on to the entries linked to this agent.
 *
 * The agent is the witness: it knows what was in flight at a crash, from whichever entries it came. Entries
 * of one pool share agents, so what one agent passes on reaches all of them in a few hops.
 */
import {PoisonGuard} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';
import type {Suspicion} from '@wasabiusher/systems';

/** Sends to all linked entries but one. */
export type Broadcast = (message: Message, except?: string) => void;

type Row = MessageOf<'suspicions'>['suspicions'][number];

/** Suspicions of one agent. */
export class PoisonRelay {
	readonly #endpoint: string;
	readonly #guard = new PoisonGuard();
	readonly #broadcast: Broadcast;

	/** @param endpoint - names this endpoint in the record of a crash */
	constructor(endpoint: string, broadcast: Broadcast) {
		this.#endpoint = endpoint;
		this.#broadcast = broadcast;
	}

	/** How a request with this content may run. */
	judge(fingerprint: string): Suspicion {
		return this.#guard.judge(fingerprint, performance.now()).kind;
	}

	recordCrash(incarnation: string, fingerprints: readonly string[]): void {
		this.#guard.recordCrash({endpoint: this.#endpoint, incarnation, fingerprints}, performance.now());
		this.#tell(new Set(fingerprints));
	}

	/** What finishes did not crash anything; entries are told if they might think so. */
	recordFinished(fingerprint: string): void {
		if (this.judge(fingerprint) !== 'free') {
			this.#guard.recordFinished(fingerprint);
			this.#tell(new Set([fingerprint]));
		}
	}

	/** Takes what an entry knows, and passes on what is news here. */
	receive({suspicions}: MessageOf<'suspicions'>, from: string): void {
		const before = new Map(this.list().map(row => [row.fingerprint, summarize(row)]));
		this.#guard.merge(suspicions, performance.now());
		const news = this.list().filter(row => before.get(row.fingerprint) !== summarize(row));
		this.#tell(new Set(news.map(({fingerprint}) => fingerprint)), from);
	}

	/** All that is known; for an entry whose link comes up. */
	list(): Row[] {
		return this.#guard.list(performance.now()).map(row => ({...row, crashes: [...row.crashes], cleared: [...row.cleared]}));
	}

	#tell(fingerprints: ReadonlySet<string>, except?: string): void {
		const suspicions = this.list().filter(({fingerprint}) => fingerprints.has(fingerprint));
		if (suspicions.length > 0) {
			this.#broadcast({kind: 'suspicions', suspicions}, except);
		}
	}
}

/** What a row says, without the time that runs off. */
function summarize({crashes, cleared, terms}: Row): string {
	return JSON.stringify([crashes.toSorted(), cleared.toSorted(), terms]);
}
