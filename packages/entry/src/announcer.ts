/**
 * Keeps this process's row in the membership list.
 */
import type {Member, MembershipList} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

/** How often the row is written again, in milliseconds; the list forgets who is silent for longer. */
const announceMs = 5000;

/** Announces one process until it has left. */
export class Announcer {
	readonly #membership: MembershipList;
	readonly #log: Log;
	readonly #describe: () => Member;
	#timer: NodeJS.Timeout | undefined;

	constructor(membership: MembershipList, log: Log, describe: () => Member) {
		this.#membership = membership;
		this.#log = log;
		this.#describe = describe;
	}

	async start(): Promise<void> {
		await this.announce();
		this.#timer = setInterval(() => {
			void this.announce();
		}, announceMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Writes the row at once; a list that can not be reached is only logged. */
	async announce(): Promise<void> {
		try {
			await this.#membership.announce(this.#describe());
		} catch (error) {
			this.#log.warn('announce_failed', {reason: describeError(error)});
		}
	}
}
