/**
 * The home's side of rations: who has told what of an endpoint, and what each may fill.
 *
 * Load pattern: demands of a dozen hosts for one endpoint within milliseconds, some late, some from hosts that then freeze. A host gives back what it
 * does not fill with each demand, and nothing else is ever taken from it before its term has ended; so that no slot is given twice, whatever
 * the messages on their way.
 */
import {divideSlots, type SlotClaim} from './divide-slots.js';
import type {SlotDemand, SlotRation, Want} from './ration.js';

/** Time for which a ration holds from its arrival on, in milliseconds: long against a message, short against the loss of a home. */
export const termMs = 1000;

/** How much longer a home keeps slots for a host than it told, in milliseconds: the way of a message and a busy process. */
const marginMs = 200;

/** Time for which what an endpoint told of requests that no host has told of counts, in milliseconds: its load changes within a run. */
const strangersMs = 300;

/** Time from the first demand for an endpoint until its slots are divided, in milliseconds: others begin at the same time and have filled slots already. */
const openMs = 3;

type Holder = {
	sequence: number;
	filled: number;
	wants: readonly Want[];
	/** Slots that it may fill; those that it fills are among them. */
	given: number;
	endsAt: number;
	/** When it last got a slot or began to want one. */
	waitsFrom: number;
};

type Book = {
	slots: number;
	holders: Map<string, Holder>;
	/** Requests of hosts that tell nothing, as last told. */
	strangers: number;
	strangersAt: number;
	/** Slots that were divided. */
	turn: number;
	/** When the first demands have had the time to come. */
	opensAt: number;
};

/** A ration and the host that gets it. */
export type RationFor = {host: string; ration: SlotRation};

/** The endpoints whose home this host is. */
export class RationHome {
	/** Demands taken, late ones that were ignored, and rations given. */
	readonly counts = {demands: 0, lateDemands: 0, rations: 0};
	readonly #books = new Map<string, Book>();
	readonly #tell: (rations: readonly RationFor[]) => void;

	/** @param tell - sends rations to their hosts */
	constructor(tell: (rations: readonly RationFor[]) => void) {
		this.#tell = tell;
	}

	/** Endpoints of which a host has told something lately. */
	get size(): number {
		return this.#books.size;
	}

	/**
	 * Takes a demand of a host; answers it unless it is late, and tells others that get more now.
	 *
	 * @param slots - of the endpoint
	 */
	take(host: string, demand: SlotDemand, slots: number): void {
		const book = this.#open(demand.endpoint, slots);
		const known = book.holders.get(host);
		if (known && demand.sequence <= known.sequence) {
			this.counts.lateDemands += 1;
			return;
		}

		this.counts.demands += 1;
		const now = performance.now();
		const isNewWish = demand.wants.length > 0 && !known?.wants.length;
		book.holders.set(host, {
			sequence: demand.sequence, filled: demand.filled, wants: demand.wants, given: demand.filled, endsAt: now + termMs + marginMs,
			waitsFrom: known && !isNewWish ? known.waitsFrom : now,
		});
		noteStrangers(book, host, demand);
		if (book.opensAt <= now) {
			this.#divide(demand.endpoint, book, [host]);
		} else if (book.holders.size === 1) {
			setTimeout(() => {
				this.#divide(demand.endpoint, book, [...book.holders.keys()]);
			}, openMs);
		}
	}

	/** Forgets endpoints of which no host has told anything for a term; to be called now and then. */
	sweep(): void {
		for (const [endpoint, book] of this.#books) {
			dropEnded(book);
			if (book.holders.size === 0) {
				this.#books.delete(endpoint);
			}
		}
	}

	#open(endpoint: string, slots: number): Book {
		const known = this.#books.get(endpoint);
		const book = known ?? {
			slots, holders: new Map<string, Holder>(), strangers: 0, strangersAt: Number.NEGATIVE_INFINITY, turn: 0, opensAt: performance.now() + openMs,
		};
		book.slots = slots;
		dropEnded(book);
		this.#books.set(endpoint, book);
		return book;
	}

	#divide(endpoint: string, book: Book, askers: readonly string[]): void {
		const now = performance.now();
		const gains = divideSlots(countFree(book), listClaims(book), book.turn);
		for (const [host, gain] of gains) {
			const holder = book.holders.get(host)!;
			holder.given += gain;
			holder.waitsFrom = now;
			holder.endsAt = now + termMs + marginMs;
			book.turn += gain;
		}

		const told = [...new Set([...askers, ...gains.keys()])].filter(host => book.holders.has(host));
		this.counts.rations += told.length;
		this.#tell(told.map(host => {
			const {given, sequence} = book.holders.get(host)!;
			return {
				host, ration: {
					endpoint, slots: given, termMs, sequence,
				},
			};
		}));
	}
}

function dropEnded({holders}: Book): void {
	const now = performance.now();
	for (const [host, {endsAt}] of holders) {
		if (endsAt <= now) {
			holders.delete(host);
		}
	}
}

function noteStrangers(book: Book, host: string, {others}: SlotDemand): void {
	if (others === undefined) {
		return;
	}

	const told = [...book.holders].filter(([name]) => name !== host).reduce((sum, [, {given}]) => sum + given, 0);
	book.strangers = Math.max(0, others - told);
	book.strangersAt = performance.now();
}

function countFree({slots, holders, strangers, strangersAt}: Book): number {
	const given = [...holders.values()].reduce((sum, holder) => sum + holder.given, 0);
	return Math.max(0, slots - given - (performance.now() - strangersAt < strangersMs ? strangers : 0));
}

/** What each host wants beyond what it was given since it told. */
function listClaims({holders}: Book): SlotClaim[] {
	const now = performance.now();
	return [...holders].flatMap(([host, {wants, given, filled, waitsFrom}]) => {
		const left = skip(wants, given - filled);
		return left.length === 0 ? [] : [{host, wants: left, waitedMs: now - waitsFrom}];
	});
}

/** What is wanted after the first so many. */
function skip(wants: readonly Want[], count: number): Want[] {
	let left = count;
	return wants.flatMap(want => {
		const skipped = Math.min(left, want.count);
		left -= skipped;
		return skipped < want.count ? [{...want, count: want.count - skipped}] : [];
	});
}
