/**
 * The waiting line of an executor: weighted fair among callers by work, urgent classes first.
 *
 * Load pattern: one caller, or one class, sends far more than its share. Without this
 * its requests fill the line and all others wait behind them.
 */
import type {PriorityClass} from '@wasabiusher/shared';

/** What the order is decided by. */
export type Ticket = {
	/** Names the entry, to take it out again. */
	id: string;
	class: PriorityClass;
	/** 0 is the least urgent. */
	priority: number;
	/** Whose turn it uses up. */
	caller: string;
	/** Weight of the caller's profile. */
	share: number;
	/** Work, in tokens or calls. */
	cost: number;
};

type Waiting<Job> = {ticket: Ticket; job: Job; tag: number};

/** Jobs in fair order; start-time fair queueing (Goyal, Vin and Cheng, 1996) within each class. */
export class FairQueue<Job> {
	readonly #waiting: Array<Waiting<Job>> = [];
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;

	get size(): number {
		return this.#waiting.length;
	}

	/** Work that waits, in the unit of the tickets' cost. */
	get work(): number {
		return this.#waiting.reduce((sum, {ticket}) => sum + ticket.cost, 0);
	}

	push(ticket: Ticket, job: Job): void {
		const flow = `${ticket.class}/${ticket.caller}`;
		const tag = Math.max(this.#virtualTime, this.#finishTags.get(flow) ?? 0);
		this.#finishTags.set(flow, tag + (ticket.cost / ticket.share));
		this.#waiting.push({ticket, job, tag});
	}

	/** Takes the job whose turn it is. */
	pop(): Job | undefined {
		const [first] = this.#waiting.toSorted(compareWaiting);
		if (!first) {
			return undefined;
		}

		this.#waiting.splice(this.#waiting.indexOf(first), 1);
		this.#virtualTime = Math.max(this.#virtualTime, first.tag);
		return first.job;
	}

	/** Takes out a job whose turn has not come; undefined if it is not there. */
	remove(id: string): Job | undefined {
		const index = this.#waiting.findIndex(({ticket}) => ticket.id === id);
		return index === -1 ? undefined : this.#waiting.splice(index, 1)[0]!.job;
	}
}

const classOrder: Readonly<Record<PriorityClass, number>> = {interactive: 0, rollout: 1, background: 2};

function compareWaiting<Job>(a: Waiting<Job>, b: Waiting<Job>): number {
	return classOrder[a.ticket.class] - classOrder[b.ticket.class]
		|| b.ticket.priority - a.ticket.priority
		|| a.tag - b.tag;
}
