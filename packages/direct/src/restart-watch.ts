/**
 * Tells one start of an endpoint from another under the same id, and ends what is open at the earlier one.
 *
 * Load pattern: an endpoint crashes behind a cut link and starts again under its id. No connection tells, so that runs wait for events
 * that nobody makes, and what was believed of the earlier start (versions, load, orders accepted) is taken for the new one's.
 */
import {PlatformError} from '@wasabiusher/backends';
import type {RegisteredEndpoint} from '@wasabiusher/shared';

/**
 * - `same`: what is known goes on
 * - `new`: nothing that is known holds
 * - `former`: written by an earlier start than the known one, and carried out late
 */
export type IncarnationRelation = 'same' | 'new' | 'former';

/** How a registration stands to the one known under its id. */
export function compareIncarnations(row: RegisteredEndpoint, known: RegisteredEndpoint): IncarnationRelation {
	if (row.bornMs === undefined || known.bornMs === undefined) {
		return row.orderCount >= known.orderCount ? 'same' : 'new';
	}

	if (row.bornMs === known.bornMs) {
		return 'same';
	}

	return row.bornMs > known.bornMs ? 'new' : 'former';
}

/** Whether what an endpoint told of itself comes from the start that is registered, as far as both say. */
export function isOfIncarnation(bornMs: number | undefined, registered: RegisteredEndpoint): boolean {
	return bornMs === undefined || registered.bornMs === undefined || bornMs === registered.bornMs;
}

/** Where restarts are told; an `EndpointDirectory` has this shape. */
export type RestartSource = {
	/** Calls back when the endpoint has started again; returns how to end that. */
	onRestart(id: string, listener: () => void): () => void;
};

/** Ends a run whose endpoint has started again: it will never be answered. */
export class RestartWatch {
	readonly #abort = new AbortController();
	readonly #unsubscribe: () => void;

	constructor(source: RestartSource, id: string) {
		this.#unsubscribe = source.onRestart(id, () => {
			this.#abort.abort(new PlatformError('unknown', `${id} has started again`));
		});
	}

	/** Aborts when the endpoint has started again. */
	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	/** Whether a failure is the earlier start's, of which nothing holds any more. */
	get hasRestarted(): boolean {
		return this.#abort.signal.aborted;
	}

	/** Watches no more. */
	end(): void {
		this.#unsubscribe();
	}
}
