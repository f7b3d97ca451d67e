/**
 * What waits in one class of urgency: customers and trainers take turns by the work that they have had.
 *
 * Load pattern: one customer sends half of all, the others a hundredth each. In order of arrival all wait behind it; with equal turns it would be
 * served a fortieth as often as the others. Each gets its part by weight, and besides a part by what it asks for.
 */
import {IndexedHeap, TurnClock, type HeapItem} from '@wasabiusher/decisions';
import {AskedShares} from './asked-shares.js';
import {TurnQueue, type Entry, type Place} from './turn-queue.js';

/**
 * Work that goes by what is asked for, against one unit that goes by weight. With it each turn gets a quarter of what
 * it would if all were served alike, whatever its weight: 0.35 of 1.35.
 */
const askedFactor = 0.35;

/** Least work charged, so that jobs that cost nothing still take turns. */
const leastCost = 1e-3;

/** Entries in time after which one of the same turn that is late goes first. */
const timelyPerLate = 3;

type Turn<Job> = {name: string; start: number; weight: number; timelySince: number; queues: Map<string, LaneQueue<Job>>};

/** One turn's entries in one lane. */
type LaneQueue<Job> = HeapItem & {turn: Turn<Job>; order: number; entries: TurnQueue<Job>};

/** The entries of one class; each operation takes O(log turns) for each lane of the turn. */
export class ClassQueue<Job> {
	readonly #turns = new Map<string, Turn<Job>>();
	/** By lane. */
	readonly #lanes = new Map<string, IndexedHeap<LaneQueue<Job>>>();
	readonly #clock = new TurnClock();
	readonly #asked = new AskedShares();
	#weights = 0;
	#order = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** How many turns wait. */
	get turnCount(): number {
		return this.#turns.size;
	}

	/** How many of a turn wait. */
	countTurn(name: string): number {
		let count = 0;
		for (const {entries} of this.#turns.get(name)?.queues.values() ?? []) {
			count += entries.size;
		}

		return count;
	}

	add(entry: Entry<Job>): void {
		const {turn: name, lane, cost} = entry.place;
		this.#asked.record(name, cost);
		const turn = this.#turns.get(name) ?? this.#beginTurn(entry.place);
		const queue = turn.queues.get(lane) ?? this.#beginQueue(turn, lane);
		queue.entries.add(entry);
		this.#size += 1;
	}

	/** Takes an entry out; its turn is charged only by `charge`. */
	remove(entry: Entry<Job>): void {
		const {turn: name, lane} = entry.place;
		const turn = this.#turns.get(name)!;
		const queue = turn.queues.get(lane)!;
		queue.entries.remove(entry);
		this.#size -= 1;
		if (queue.entries.size === 0) {
			this.#endQueue(turn, lane, queue);
		}
	}

	/** Charges the turn of an entry that is served and still waits. */
	charge({place, isLate}: Entry<Job>): void {
		const turn = this.#turns.get(place.turn)!;
		this.#clock.advance(turn.start);
		turn.start += Math.max(leastCost, place.cost) / ((turn.weight / this.#weights) + (askedFactor * this.#asked.read(turn.name)));
		turn.timelySince = isLate ? 0 : turn.timelySince + 1;
		for (const [lane, queue] of turn.queues) {
			this.#lanes.get(lane)!.update(queue);
		}
	}

	/** The entry whose turn it is among lanes that are not passed over. */
	findFirst(now: number, isPassedOver: (lane: string) => boolean): Entry<Job> | undefined {
		let best: Entry<Job> | undefined;
		let bestStart = Number.POSITIVE_INFINITY;
		for (const [lane, queues] of this.#lanes) {
			const first = isPassedOver(lane) ? undefined : queues.first;
			if (!first || first.turn.start > bestStart) {
				continue;
			}

			const {start, timelySince} = first.turn;
			const prefersLate = timelySince >= timelyPerLate;
			const entry = first.entries.findFirst(now, prefersLate)!;
			if (!best || start < bestStart || isBefore(entry, best, prefersLate)) {
				best = entry;
				bestStart = start;
			}
		}

		return best;
	}

	#beginTurn({turn: name, weight}: Place): Turn<Job> {
		const turn: Turn<Job> = {
			name, weight, start: this.#clock.enter(name), timelySince: 0, queues: new Map(),
		};
		this.#turns.set(name, turn);
		this.#weights += weight;
		return turn;
	}

	#beginQueue(turn: Turn<Job>, lane: string): LaneQueue<Job> {
		this.#order += 1;
		const queue: LaneQueue<Job> = {
			turn, order: this.#order, entries: new TurnQueue(), heapIndex: -1,
		};
		turn.queues.set(lane, queue);
		const queues = this.#lanes.get(lane) ?? new IndexedHeap<LaneQueue<Job>>((a, b) => (a.turn.start - b.turn.start || a.order - b.order) < 0);
		this.#lanes.set(lane, queues);
		queues.add(queue);
		return queue;
	}

	#endQueue(turn: Turn<Job>, lane: string, queue: LaneQueue<Job>): void {
		const queues = this.#lanes.get(lane)!;
		queues.remove(queue);
		turn.queues.delete(lane);
		if (queues.size === 0) {
			this.#lanes.delete(lane);
		}

		if (turn.queues.size === 0) {
			this.#turns.delete(turn.name);
			this.#weights = this.#turns.size === 0 ? 0 : this.#weights - turn.weight;
			this.#clock.leave(turn.name, turn.start);
		}
	}
}

/** Whether an entry goes before another whose turn starts at the same time. */
function isBefore<Job>(a: Entry<Job>, b: Entry<Job>, prefersLate: boolean): boolean {
	return a.isLate === b.isLate ? a.place.beginBy < b.place.beginBy : a.isLate === prefersLate;
}
