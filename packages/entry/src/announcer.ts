/**
 * Keeps the row of this process in the membership list up to date.
 */
import type {Member, MembershipList} from '@wasabiusher/backends';
import {describeError, type Log} from '@wasabiusher/shared';

/** How often the row is rewritten, in milliseconds; the list drops processes that have not announced themselves for longer. */
const announceIntervalMs = 5000;

/** Announces one process periodically until it is stopped. */
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
		}, announceIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Writes the row immediately. An unreachable list is logged and not thrown. */
	async announce(): Promise<void> {
		try {
			await this.#membership.announce(this.#describe());
		} catch (error) {
			this.#log.warn('announce_failed', {reason: describeError(error)});
		}
	}
}
