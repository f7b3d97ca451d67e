/**
 * Remembers persistent speeds of endpoints by address, so that the speed of an endpoint that restarts on the same machine is known.
 *
 * Load pattern: hosts and endpoints are replaced one after the other all day. A host that has just started distributes the generations of a step before
 * it has measured anything; measurements of other hosts tell it which endpoints are fast. Runs at the endpoint itself replace an assumed speed.
 */
import type {EndpointState} from './endpoint-state.js';

/** Smallest change of a speed that is published, as a factor; load alone makes a full endpoint a fifth slower than an idle one. */
const changeFactor = 1.25;

/** Maximum number of remembered addresses; the least recently updated one is evicted first. */
const maxSpeeds = 20_000;

/** The persistent speed of the endpoint at an address, in milliseconds per unit of work. */
export type PersistentSpeed = {service: string; address: string; classMs: number};

/** Known persistent speeds, by service and address. */
export class PersistentSpeeds {
	readonly #speeds = new Map<string, PersistentSpeed>();
	/** Speeds that the store holds or other hosts have reported, by the same keys. */
	readonly #published = new Map<string, number>();

	/** Assumes the last known speed at the endpoint's address, unless this process has measured the endpoint. */
	guess(state: EndpointState): void {
		const known = this.#speeds.get(toKey(state.endpoint));
		if (known && state.ownPersistentMs === undefined) {
			state.guessPersistentSpeed(known.classMs);
		}
	}

	/** Records the speed that this process has measured, if any. */
	record({endpoint: {service, address}, ownPersistentMs}: EndpointState): void {
		if (ownPersistentMs !== undefined) {
			this.#store({service, address, classMs: ownPersistentMs});
		}
	}

	/** Records a speed that another host has reported. */
	recordReported(entry: PersistentSpeed): void {
		this.#store(entry);
		this.#published.set(toKey(entry), entry.classMs);
	}

	/** Speeds that are unpublished or have changed since they were published. */
	listUnpublished(): PersistentSpeed[] {
		return [...this.#speeds.values()].filter(entry => isChanged(entry.classMs, this.#published.get(toKey(entry))));
	}

	/** Marks speeds as held by the store. */
	markPublished(entries: readonly PersistentSpeed[]): void {
		for (const entry of entries) {
			this.#published.set(toKey(entry), entry.classMs);
		}
	}

	#store(entry: PersistentSpeed): void {
		const key = toKey(entry);
		this.#speeds.delete(key);
		this.#speeds.set(key, entry);
		if (this.#speeds.size > maxSpeeds) {
			const [oldest] = this.#speeds.keys();
			this.#speeds.delete(oldest!);
			this.#published.delete(oldest!);
		}
	}
}

function toKey({service, address}: {service: string; address: string}): string {
	return `${service}/${address}`;
}

function isChanged(classMs: number, published: number | undefined): boolean {
	return published === undefined || classMs > published * changeFactor || published > classMs * changeFactor;
}
