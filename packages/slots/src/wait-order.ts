/**
 * In which order what waits for the same servers is served.
 *
 * Load pattern: calls that a person waits for, texts of steps and second texts that nobody waits for ask for the same slots, several times as
 * much as there are. By arrival all are late; by strict classes the less urgent never run. The most urgent goes first, but
 * each class that waits is served at least a quarter as often as all are.
 */
import {AskedShares} from './asked-shares.js';
import {ClassQueue} from './class-queue.js';
import type {Entry, Place} from './turn-queue.js';

export type {Entry, Place} from './turn-queue.js';

/** Least rate at which a class is served against all; above a quarter, since what is asked and served is counted by and by. */
const leastRate = 0.3;

/** Most that is owed to a class, in jobs: while nothing fits it, it must not save up more than a moment's work. */
const mostOwedJobs = 20;

type Class<Job> = {urgency: number; queue: ClassQueue<Job>; credit: number};

/** Entries in the order in which they are served. */
export class WaitOrder<Job> {
	/** The most urgent first. */
	readonly #classes: Array<Class<Job>> = [];
	readonly #asked = new AskedShares();
	#order = 0;

	get size(): number {
		return this.#classes.reduce((sum, {queue}) => sum + queue.size, 0);
	}

	add(place: Place, job: Job): Entry<Job> {
		this.#order += 1;
		const entry: Entry<Job> = {
			place, job, order: this.#order, isLate: false, heapIndex: -1,
		};
		this.#asked.record(String(place.urgency), place.cost);
		this.#findClass(place.urgency).queue.add(entry);
		return entry;
	}

	/** Takes out an entry that is not served; its turn is not charged. */
	remove(entry: Entry<Job>): void {
		this.#findClass(entry.place.urgency).queue.remove(entry);
	}

	/** Takes out an entry that is served. */
	serve(entry: Entry<Job>): void {
		const {urgency, cost} = entry.place;
		const served = this.#findClass(urgency);
		for (const other of this.#classes) {
			// Nothing is owed to a class that does not wait, so none can be saved up.
			const isOwed = other.urgency > urgency && other.queue.size > 0;
			const owed = isOwed ? leastRate * this.#asked.read(String(other.urgency)) * cost : 0;
			other.credit = other.queue.size === 0 ? 0 : Math.min(mostOwedJobs * cost, other.credit + owed);
		}

		served.credit = Math.max(0, served.credit - cost);
		served.queue.charge(entry);
		served.queue.remove(entry);
	}

	/**
	 * The entry whose turn it is; undefined if all that wait are passed over.
	 *
	 * @param now - on the monotonic clock
	 * @param isPassedOver - whether nothing fits the entries of a lane at present
	 */
	findFirst(now: number, isPassedOver: (lane: string) => boolean): Entry<Job> | undefined {
		let first: Entry<Job> | undefined;
		for (const {queue, credit} of this.#classes) {
			const entry = queue.size > 0 ? queue.findFirst(now, isPassedOver) : undefined;
			if (entry && credit > 0 && credit >= entry.place.cost) {
				return entry;
			}

			first ??= entry;
		}

		return first;
	}

	/**
	 * Entries that go before a new one, as far as can be told now: all of more urgent classes, and of its own class those that its turn does not
	 * pass by.
	 */
	countAhead({urgency, turn}: Pick<Place, 'urgency' | 'turn'>): number {
		let ahead = 0;
		for (const {urgency: other, queue} of this.#classes) {
			if (other < urgency) {
				ahead += queue.size;
			} else if (other === urgency) {
				const own = queue.countTurn(turn);
				const turns = queue.turnCount + (own === 0 ? 1 : 0);
				ahead += Math.min(queue.size, ((own + 1) * turns) - 1);
			}
		}

		return ahead;
	}

	#findClass(urgency: number): Class<Job> {
		let index = this.#classes.findIndex(other => other.urgency >= urgency);
		index = index === -1 ? this.#classes.length : index;
		if (this.#classes[index]?.urgency !== urgency) {
			this.#classes.splice(index, 0, {urgency, queue: new ClassQueue(), credit: 0});
		}

		return this.#classes[index]!;
	}
}
