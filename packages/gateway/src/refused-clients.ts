/**
 * Counts and logs what the limits for clients have refused or closed.
 */
import type {ClosedConnection, RefusedBody} from '@wasabiusher/daemon';
import type {Log, LogValue} from '@wasabiusher/shared';

/** Minimum time between two lines for the same reason, in milliseconds; a crowd is refused hundreds of times a second. */
const logIntervalMs = 1000;

/** Counts refusals by their reason, and logs each reason at most once per interval. */
export class RefusedClients {
	readonly #log: Log;
	readonly #counts = new Map<string, number>();
	readonly #logged = new Map<string, {at: number; count: number}>();

	constructor(log: Log) {
		this.#log = log;
	}

	/** Refusals since the start by reason, as `client-refused-<reason>`. */
	get counts(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#counts].map(([reason, count]) => [`client-refused-${reason}`, count]));
	}

	/** Records a body that was not read to its end. */
	recordBody({reason, ...values}: RefusedBody): void {
		this.#record(reason, values);
	}

	/** Records a connection that was closed. */
	recordConnection({reason, ...values}: ClosedConnection): void {
		this.#record(reason, values);
	}

	#record(reason: string, values: Readonly<Record<string, LogValue>>): void {
		const count = (this.#counts.get(reason) ?? 0) + 1;
		this.#counts.set(reason, count);
		const now = performance.now();
		const logged = this.#logged.get(reason) ?? {at: Number.NEGATIVE_INFINITY, count: 0};
		if (now - logged.at >= logIntervalMs) {
			this.#log.warn('client_refused', {reason, ...values, times: count - logged.count});
			this.#logged.set(reason, {at: now, count});
		}
	}
}
