/**
 * Lasting speeds of endpoints by their addresses, so that an endpoint that starts again on the same machine is not unknown.
 *
 * Load pattern: hosts and endpoints are replaced one after the other all day. A host that has just started deals out a step's texts before it has
 * measured anything; what others have measured tells it which endpoints are fast. A guess is given up by the endpoint's own runs.
 */
import type {EndpointStanding} from './endpoint-state.js';

/** Change of a class that is worth telling, as a factor: full endpoints are a fifth slower than idle ones. */
const changeFactor = 1.25;

/** Addresses remembered; the one unused longest is forgotten first. */
const maxSpeeds = 20_000;

/** A lasting speed, in milliseconds for a unit of work. */
export type EndpointClass = {service: string; address: string; classMs: number};

/** What is known of lasting speeds, by service and address. */
export class PersistentSpeeds {
	readonly #speeds = new Map<string, EndpointClass>();
	/** What the store holds or others have told, by the same keys. */
	readonly #published = new Map<string, number>();

	/** Guesses the class of an endpoint by the one that was last at its address, unless it was measured here. */
	guess(state: EndpointStanding): void {
		const known = this.#speeds.get(toKey(state.endpoint));
		if (known && state.ownPersistentMs === undefined) {
			state.guessPersistentSpeed(known.classMs);
		}
	}

	/** Learns what this process has measured of an endpoint. */
	record({endpoint: {service, address}, ownPersistentMs: ownClassMs}: EndpointStanding): void {
		if (ownClassMs !== undefined) {
			this.#store({service, address, classMs: ownClassMs});
		}
	}

	/** Learns what others have told. */
	learn(entry: EndpointClass): void {
		this.#store(entry);
		this.#published.set(toKey(entry), entry.classMs);
	}

	/** Classes that others don't know yet. */
	listNews(): EndpointClass[] {
		return [...this.#speeds.values()].filter(entry => isChanged(entry.classMs, this.#published.get(toKey(entry))));
	}

	/** Notes that the store holds them. */
	noteTold(entries: readonly EndpointClass[]): void {
		for (const entry of entries) {
			this.#published.set(toKey(entry), entry.classMs);
		}
	}

	#store(entry: EndpointClass): void {
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
