/**
 * What one customer or trainer has waiting of one kind of need: what is due first, and behind it what can't be in time any more.
 *
 * Load pattern: two steps of one trainer are open, or a customer's requests come with different times left. In order of arrival an old one that is late in
 * any case holds up those that can still be in time.
 */
import {IndexedHeap, type HeapItem} from '@wasabiusher/decisions';

/** What the order is decided by. */
export type Place = {
	/** Class of urgency; 0 goes first. */
	urgency: number;
	/** Whose turn it uses up, and that turn's weight among others of the same urgency. */
	turn: string;
	weight: number;
	/** Names what fits it: those with the same name fit the same endpoints. */
	lane: string;
	/** When it must begin to be done in time, on the monotonic clock. */
	beginBy: number;
	/** Goes before others that must begin at the same time; the least first. */
	rank: number;
	/** Work that it takes, in any one unit. */
	cost: number;
};

/** One that waits. */
export type Entry<Job> = HeapItem & {place: Place; job: Job; order: number; isLate: boolean};

/** The entries of one turn in one lane. */
export class TurnQueue<Job> {
	readonly #timely = new IndexedHeap<Entry<Job>>(isDueBefore);
	readonly #late = new IndexedHeap<Entry<Job>>(isDueBefore);

	get size(): number {
		return this.#timely.size + this.#late.size;
	}

	add(entry: Entry<Job>): void {
		this.#timely.add(entry);
	}

	remove(entry: Entry<Job>): void {
		(entry.isLate ? this.#late : this.#timely).remove(entry);
	}

	/**
	 * The one whose turn it is.
	 *
	 * @param now - on the monotonic clock
	 * @param prefersLate - whether what is late goes before what can be in time
	 */
	findFirst(now: number, prefersLate: boolean): Entry<Job> | undefined {
		this.#moveLate(now);
		const timely = this.#timely.first;
		const late = this.#late.first;
		return prefersLate ? late ?? timely : timely ?? late;
	}

	#moveLate(now: number): void {
		for (let entry = this.#timely.first; entry && entry.place.beginBy < now; entry = this.#timely.first) {
			this.#timely.remove(entry);
			entry.isLate = true;
			this.#late.add(entry);
		}
	}
}

function isDueBefore<Job>(a: Entry<Job>, b: Entry<Job>): boolean {
	return (a.place.beginBy - b.place.beginBy || a.place.rank - b.place.rank || a.order - b.order) < 0;
}
