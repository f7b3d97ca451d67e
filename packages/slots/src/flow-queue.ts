/**
 * Queues the entries of one flow (a customer or trainer) that have the same eligible endpoints: earliest due first, then those that can no longer be on time.
 *
 * Load pattern: two steps of one trainer are open, or a customer's requests arrive with different times left. In order of arrival, an old entry that is late
 * in any case delays entries that can still be on time.
 */
import {IndexedHeap, type HeapItem} from '@wasabiusher/decisions';

/** What determines the order of service. */
export type SchedulingAttributes = {
	/** Urgency class; 0 is served first. */
	urgency: number;
	/** Flow that it is charged to, and the weight of that flow among flows of the same urgency. */
	turn: string;
	weight: number;
	/** Eligibility key: entries with the same key have the same eligible endpoints. */
	eligibilityKey: string;
	/** Latest start to finish on time, on the monotonic clock. */
	beginBy: number;
	/** Orders entries with the same latest start; the lowest first. */
	rank: number;
	/** Work that it takes; all entries of a queue use the same unit. */
	cost: number;
};

/** A queued job. */
export type QueueEntry<Job> = HeapItem & {attributes: SchedulingAttributes; job: Job; order: number; isLate: boolean};

/** The entries of one flow with the same eligible endpoints. */
export class FlowQueue<Job> {
	readonly #onTime = new IndexedHeap<QueueEntry<Job>>(isDueBefore);
	readonly #late = new IndexedHeap<QueueEntry<Job>>(isDueBefore);

	get size(): number {
		return this.#onTime.size + this.#late.size;
	}

	add(entry: QueueEntry<Job>): void {
		this.#onTime.add(entry);
	}

	remove(entry: QueueEntry<Job>): void {
		(entry.isLate ? this.#late : this.#onTime).remove(entry);
	}

	/**
	 * Returns the entry to serve next.
	 *
	 * @param now - on the monotonic clock
	 * @param prefersLate - whether late entries go before those that can be on time
	 */
	findFirst(now: number, prefersLate: boolean): QueueEntry<Job> | undefined {
		this.#moveLate(now);
		const onTime = this.#onTime.first;
		const late = this.#late.first;
		return prefersLate ? late ?? onTime : onTime ?? late;
	}

	#moveLate(now: number): void {
		for (let entry = this.#onTime.first; entry && entry.attributes.beginBy < now; entry = this.#onTime.first) {
			this.#onTime.remove(entry);
			entry.isLate = true;
			this.#late.add(entry);
		}
	}
}

function isDueBefore<Job>(a: QueueEntry<Job>, b: QueueEntry<Job>): boolean {
	return (a.attributes.beginBy - b.attributes.beginBy || a.attributes.rank - b.attributes.rank || a.order - b.order) < 0;
}
