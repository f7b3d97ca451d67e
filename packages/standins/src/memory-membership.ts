/**
 * A membership list with lag: announcements become visible later, and dead hosts stay listed until they expire.
 */
import type {Member, MembershipList} from '@wasabiusher/backends';

export type MembershipLag = {
	/** Delay before an announcement is visible, in milliseconds. */
	lagMs: number;
	/** Time since its last announcement after which a host is no longer listed, in milliseconds. */
	expiryMs: number;
};

/** Six missed announcements at the agents' interval of 5 s. */
const defaultExpiryMs = 30_000;

type Announcement = {member: Member; at: number};

/** Membership list in memory. */
export class MemoryMembershipList implements MembershipList {
	readonly lag: MembershipLag;
	/** Announcements by host id, oldest first. Announcements replaced by a newer visible one are dropped. */
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
