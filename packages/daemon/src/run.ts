/**
 * The lifecycle of a daemon: starts, drains on SIGTERM or SIGINT, then exits.
 */
import process from 'node:process';
import {describeError, type Log} from '@wasabiusher/shared';

/** A running program. */
export type Daemon = {
	/** Stops accepting new work; resolves when the open work is finished. */
	drain(): Promise<void>;
};

/**
 * Starts a daemon, and drains it when a signal is received.
 *
 * A second signal while draining is ignored, because a graceful shutdown does not abort requests.
 */
export async function runDaemon(log: Log, start: () => Promise<Daemon>): Promise<void> {
	let daemon: Daemon;
	try {
		daemon = await start();
	} catch (error) {
		log.error('start_failed', {reason: describeError(error)});
		process.exit(1);
	}

	let isDraining = false;
	const drain = async (signal: string) => {
		if (isDraining) {
			return;
		}

		isDraining = true;
		log.info('draining', {signal});
		await daemon.drain();
		log.info('drained');
		process.exit(0);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void drain(signal);
		});
	}
}
