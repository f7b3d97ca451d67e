/**
 * A membership list that lags: what was announced shows later, and the dead stay listed for a while.
 */
import type {Member, MembershipList} from '@wasabiusher/backends';

export type MembershipLag = {
	/** Time before an announcement shows, in milliseconds. */
	lagMs: number;
	/** A host that has not announced itself for this long is no longer listed, in milliseconds. */
	expiryMs: number;
};

/** Six announcements missed, at the agents' five seconds. */
const defaultExpiryMs = 30_000;

type Announcement = {member: Member; at: number};

export class MemoryMembershipList implements MembershipList {
	readonly lag: MembershipLag;
	/** By id, oldest first; those that newer visible ones replace are dropped. */
	readonly #announcements = new Map<string, Announcement[]>();

	constructor({lagMs = 0, expiryMs = defaultExpiryMs}: Partial<MembershipLag> = {}) {
		this.lag = {lagMs, expiryMs};
	}

	async announce(member: Member): Promise<void> {
		const known = this.#announcements.get(member.id) ?? [];
		this.#announcements.set(member.id, [...this.#dropReplaced(known), {member, at: performance.now()}]);
	}

	async list(): Promise<Member[]> {
		const now = performance.now();
		const members: Member[] = [];
		for (const [id, announcements] of this.#announcements) {
			const visible = announcements.findLast(({at}) => at <= now - this.lag.lagMs);
			if (visible && now - this.lag.lagMs - visible.at <= this.lag.expiryMs) {
				members.push(visible.member);
			} else if (visible === announcements.at(-1)) {
				this.#announcements.delete(id);
			}
		}

		return members;
	}

	#dropReplaced(announcements: readonly Announcement[]): Announcement[] {
		const visible = announcements.findLastIndex(({at}) => at <= performance.now() - this.lag.lagMs);
		return announcements.slice(Math.max(0, visible));
	}
}
