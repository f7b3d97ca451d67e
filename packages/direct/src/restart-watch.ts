/**
 * Distinguishes incarnations of an endpoint under the same id, and aborts runs that are open at a previous one.
 *
 * Load pattern: an endpoint crashes behind a broken link and restarts under its id. No connection reports it, so runs wait for events that will never come,
 * and the known state of the previous incarnation (versions, load, accepted orders) is attributed to the new one.
 */
import {PlatformError} from '@wasabiusher/backends';
import type {RegisteredEndpoint} from '@wasabiusher/shared';

/**
 * - `same`: the known state stays valid
 * - `new`: the known state is invalid
 * - `former`: written by an incarnation before the known one, and arrived late
 */
export type IncarnationRelation = 'same' | 'new' | 'former';

/** Compares the incarnation of a registration with the one known under its id. */
export function compareIncarnations(row: RegisteredEndpoint, known: RegisteredEndpoint): IncarnationRelation {
	if (row.bornMs === undefined || known.bornMs === undefined) {
		return row.orderCount >= known.orderCount ? 'same' : 'new';
	}

	if (row.bornMs === known.bornMs) {
		return 'same';
	}

	return row.bornMs > known.bornMs ? 'new' : 'former';
}

/** Whether a start time belongs to the registered incarnation; true if either is unknown. */
export function isOfIncarnation(bornMs: number | undefined, registered: RegisteredEndpoint): boolean {
	return bornMs === undefined || registered.bornMs === undefined || bornMs === registered.bornMs;
}

/** Source of restart notifications; an `EndpointDirectory` has this shape. */
export type RestartSource = {
	/** Calls the listener when the endpoint has restarted; returns a function that unsubscribes it. */
	onRestart(id: string, listener: () => void): () => void;
};

/** Aborts a run whose endpoint has restarted, since it will never be answered. */
export class RestartWatch {
	readonly #abort = new AbortController();
	readonly #unsubscribe: () => void;

	constructor(source: RestartSource, id: string) {
		this.#unsubscribe = source.onRestart(id, () => {
			this.#abort.abort(new PlatformError('unknown', `endpoint ${id} has restarted`));
		});
	}

	/** Aborts when the endpoint has restarted. */
	get signal(): AbortSignal {
		return this.#abort.signal;
	}

	/** Whether the endpoint has restarted, so that a failure of the run belongs to the previous incarnation. */
	get hasRestarted(): boolean {
		return this.#abort.signal.aborted;
	}

	/** Stops watching. */
	end(): void {
		this.#unsubscribe();
	}
}
