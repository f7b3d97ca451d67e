/**
 * Orders the work that waits for the same endpoints.
 *
 * Load pattern: calls that a person waits for, generations of steps and regenerations that nobody waits for compete for the same slots, several times as
 * many as there are. In order of arrival all are late; by strict priority the less urgent never run. The most urgent goes first, but
 * each waiting class is served at least at a quarter of the overall rate.
 */
import {DemandShares} from './demand-shares.js';
import {ClassQueue} from './class-queue.js';
import type {QueueEntry, SchedulingAttributes} from './flow-queue.js';

export type {QueueEntry, SchedulingAttributes} from './flow-queue.js';

/** Minimum service rate of a class relative to the overall rate; above a quarter, since demand and service are counted with a delay. */
const minServiceRatio = 0.3;

/** Limit of a class's credit, in jobs: while no endpoint is eligible for it, it must not accumulate more than a short burst. */
const maxCreditJobs = 20;

type UrgencyClass<Job> = {urgency: number; queue: ClassQueue<Job>; credit: number};

/** Queue with urgency classes and fair queueing inside each class. */
export class FairPriorityQueue<Job> {
	/** Most urgent first. */
	readonly #classes: Array<UrgencyClass<Job>> = [];
	readonly #demandShares = new DemandShares();
	#order = 0;

	get size(): number {
		return this.#classes.reduce((sum, {queue}) => sum + queue.size, 0);
	}

	add(attributes: SchedulingAttributes, job: Job): QueueEntry<Job> {
		this.#order += 1;
		const entry: QueueEntry<Job> = {
			attributes, job, order: this.#order, isLate: false, heapIndex: -1,
		};
		this.#demandShares.record(String(attributes.urgency), attributes.cost);
		this.#findClass(attributes.urgency).queue.add(entry);
		return entry;
	}

	/** Removes an entry that is not served; its flow is not charged. */
	remove(entry: QueueEntry<Job>): void {
		this.#findClass(entry.attributes.urgency).queue.remove(entry);
	}

	/** Removes an entry that is served, and charges its flow. */
	serve(entry: QueueEntry<Job>): void {
		const {urgency, cost} = entry.attributes;
		const served = this.#findClass(urgency);
		for (const other of this.#classes) {
			// A class without waiting entries earns no credit, so it can't accumulate any while idle.
			const earnsCredit = other.urgency > urgency && other.queue.size > 0;
			const earned = earnsCredit ? minServiceRatio * this.#demandShares.read(String(other.urgency)) * cost : 0;
			other.credit = other.queue.size === 0 ? 0 : Math.min(maxCreditJobs * cost, other.credit + earned);
		}

		served.credit = Math.max(0, served.credit - cost);
		served.queue.charge(entry);
		served.queue.remove(entry);
	}

	/**
	 * Returns the entry to serve next; undefined if all entries are blocked.
	 *
	 * @param now - on the monotonic clock
	 * @param isBlocked - whether no eligible endpoint has a free slot for entries with this eligibility key
	 */
	findFirst(now: number, isBlocked: (eligibilityKey: string) => boolean): QueueEntry<Job> | undefined {
		let first: QueueEntry<Job> | undefined;
		for (const {queue, credit} of this.#classes) {
			const entry = queue.size > 0 ? queue.findFirst(now, isBlocked) : undefined;
			if (entry && credit > 0 && credit >= entry.attributes.cost) {
				return entry;
			}

			first ??= entry;
		}

		return first;
	}

	/**
	 * Estimates how many entries are served before a new one: all of more urgent classes, and of its own class those that fair queueing
	 * serves before its flow's next entry.
	 */
	countAhead({urgency, turn: flow}: Pick<SchedulingAttributes, 'urgency' | 'turn'>): number {
		let ahead = 0;
		for (const {urgency: other, queue} of this.#classes) {
			if (other < urgency) {
				ahead += queue.size;
			} else if (other === urgency) {
				const own = queue.countFlow(flow);
				const flows = queue.flowCount + (own === 0 ? 1 : 0);
				ahead += Math.min(queue.size, ((own + 1) * flows) - 1);
			}
		}

		return ahead;
	}

	#findClass(urgency: number): UrgencyClass<Job> {
		let index = this.#classes.findIndex(other => other.urgency >= urgency);
		index = index === -1 ? this.#classes.length : index;
		if (this.#classes[index]?.urgency !== urgency) {
			this.#classes.splice(index, 0, {urgency, queue: new ClassQueue(), credit: 0});
		}

		return this.#classes[index]!;
	}
}
