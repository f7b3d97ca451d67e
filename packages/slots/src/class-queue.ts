/**
 * Queue of one urgency class: start-time fair queueing among flows (customers and trainers) by the work that they were served.
 *
 * Load pattern: one customer sends half of all requests, the others a hundredth each. In order of arrival all wait behind it; with equal shares its requests
 * would be served a fortieth as often as the others'. Each flow gets a share by weight, and in addition a share by its demand.
 */
import {IndexedHeap, FlowClock, type HeapItem} from '@wasabiusher/decisions';
import {DemandShares} from './demand-shares.js';
import {FlowQueue, type QueueEntry, type SchedulingAttributes} from './flow-queue.js';

/**
 * Work that is shared by demand, per unit of work that is shared by weight. With 0.35 of 1.35 each flow gets at least a quarter of
 * what equal service of all requests would give it, whatever its weight.
 */
const demandFactor = 0.35;

/** Minimum work charged, so that jobs without cost still alternate. */
const minCost = 1e-3;

/** On-time entries after which a late one of the same flow goes first. */
const onTimePerLate = 3;

type Flow<Job> = {name: string; startTag: number; weight: number; onTimeSinceLate: number; queues: Map<string, EligibleEntries<Job>>};

/** Entries of one flow that have the same eligible endpoints. */
type EligibleEntries<Job> = HeapItem & {flow: Flow<Job>; order: number; entries: FlowQueue<Job>};

/** The entries of one class; each operation takes O(log flows) for each eligibility key of the flow. */
export class ClassQueue<Job> {
	readonly #flows = new Map<string, Flow<Job>>();
	/** By eligibility key. */
	readonly #heaps = new Map<string, IndexedHeap<EligibleEntries<Job>>>();
	readonly #clock = new FlowClock();
	readonly #demandShares = new DemandShares();
	#totalWeight = 0;
	#order = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Number of flows with waiting entries. */
	get flowCount(): number {
		return this.#flows.size;
	}

	/** Number of waiting entries of a flow. */
	countFlow(name: string): number {
		let count = 0;
		for (const {entries} of this.#flows.get(name)?.queues.values() ?? []) {
			count += entries.size;
		}

		return count;
	}

	add(entry: QueueEntry<Job>): void {
		const {turn: name, eligibilityKey, cost} = entry.attributes;
		this.#demandShares.record(name, cost);
		const flow = this.#flows.get(name) ?? this.#addFlow(entry.attributes);
		const queue = flow.queues.get(eligibilityKey) ?? this.#addQueue(flow, eligibilityKey);
		queue.entries.add(entry);
		this.#size += 1;
	}

	/** Removes an entry; its flow is charged by `charge` alone. */
	remove(entry: QueueEntry<Job>): void {
		const {turn: name, eligibilityKey} = entry.attributes;
		const flow = this.#flows.get(name)!;
		const queue = flow.queues.get(eligibilityKey)!;
		queue.entries.remove(entry);
		this.#size -= 1;
		if (queue.entries.size === 0) {
			this.#removeQueue(flow, eligibilityKey, queue);
		}
	}

	/** Charges the flow of an entry that is about to be served, before it is removed. */
	charge({attributes, isLate}: QueueEntry<Job>): void {
		const flow = this.#flows.get(attributes.turn)!;
		this.#clock.advance(flow.startTag);
		flow.startTag += Math.max(minCost, attributes.cost) / ((flow.weight / this.#totalWeight) + (demandFactor * this.#demandShares.read(flow.name)));
		flow.onTimeSinceLate = isLate ? 0 : flow.onTimeSinceLate + 1;
		for (const [eligibilityKey, queue] of flow.queues) {
			this.#heaps.get(eligibilityKey)!.update(queue);
		}
	}

	/** Returns the entry to serve next among those that are not blocked. */
	findFirst(now: number, isBlocked: (eligibilityKey: string) => boolean): QueueEntry<Job> | undefined {
		let best: QueueEntry<Job> | undefined;
		let bestStartTag = Number.POSITIVE_INFINITY;
		for (const [eligibilityKey, heap] of this.#heaps) {
			const first = isBlocked(eligibilityKey) ? undefined : heap.first;
			if (!first || first.flow.startTag > bestStartTag) {
				continue;
			}

			const {startTag, onTimeSinceLate} = first.flow;
			const prefersLate = onTimeSinceLate >= onTimePerLate;
			const entry = first.entries.findFirst(now, prefersLate)!;
			if (!best || startTag < bestStartTag || isBefore(entry, best, prefersLate)) {
				best = entry;
				bestStartTag = startTag;
			}
		}

		return best;
	}

	#addFlow({turn: name, weight}: SchedulingAttributes): Flow<Job> {
		const flow: Flow<Job> = {
			name, weight, startTag: this.#clock.enter(name), onTimeSinceLate: 0, queues: new Map(),
		};
		this.#flows.set(name, flow);
		this.#totalWeight += weight;
		return flow;
	}

	#addQueue(flow: Flow<Job>, eligibilityKey: string): EligibleEntries<Job> {
		this.#order += 1;
		const queue: EligibleEntries<Job> = {
			flow, order: this.#order, entries: new FlowQueue(), heapIndex: -1,
		};
		flow.queues.set(eligibilityKey, queue);
		const heap = this.#heaps.get(eligibilityKey) ?? new IndexedHeap<EligibleEntries<Job>>((a, b) => (a.flow.startTag - b.flow.startTag || a.order - b.order) < 0);
		this.#heaps.set(eligibilityKey, heap);
		heap.add(queue);
		return queue;
	}

	#removeQueue(flow: Flow<Job>, eligibilityKey: string, queue: EligibleEntries<Job>): void {
		const heap = this.#heaps.get(eligibilityKey)!;
		heap.remove(queue);
		flow.queues.delete(eligibilityKey);
		if (heap.size === 0) {
			this.#heaps.delete(eligibilityKey);
		}

		if (flow.queues.size === 0) {
			this.#flows.delete(flow.name);
			this.#totalWeight = this.#flows.size === 0 ? 0 : this.#totalWeight - flow.weight;
			this.#clock.leave(flow.name, flow.startTag);
		}
	}
}

/** Whether an entry goes before another whose flow has the same start tag. */
function isBefore<Job>(a: QueueEntry<Job>, b: QueueEntry<Job>, prefersLate: boolean): boolean {
	return a.isLate === b.isLate ? a.attributes.beginBy < b.attributes.beginBy : a.isLate === prefersLate;
}
