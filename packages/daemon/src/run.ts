/**
 * The life of a daemon: start, then drain on SIGTERM or SIGINT, then exit.
 */
import process from 'node:process';
import {describeError, type Log} from '@wasabiusher/shared';

/** A running program. */
export type Daemon = {
	/** Takes no new work, finishes what is open, then resolves. */
	drain(): Promise<void>;
};

/**
 * Runs a daemon until it has drained.
 *
 * A second signal while draining changes nothing: a graceful shutdown cuts off no request.
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
