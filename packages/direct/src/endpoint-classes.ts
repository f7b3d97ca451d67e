/**
 * Lasting speeds of endpoints by their addresses, so that an endpoint that starts again on the same machine is not unknown.
 *
 * Load pattern: hosts and endpoints are replaced one after the other all day. A host that has just started deals out a step's texts before it has
 * measured anything; what others have measured tells it which endpoints are fast. A guess is given up by the endpoint's own runs.
 */
import type {EndpointStanding} from './endpoint-standing.js';

/** Change of a class that is worth telling, as a factor: full endpoints are a fifth slower than idle ones. */
const newsFactor = 1.25;

/** Addresses remembered; the one unused longest is forgotten first. */
const maxClasses = 20_000;

/** A lasting speed, in milliseconds for a unit of work. */
export type EndpointClass = {service: string; address: string; classMs: number};

/** What is known of lasting speeds, by service and address. */
export class EndpointClasses {
	readonly #classes = new Map<string, EndpointClass>();
	/** What the store holds or others have told, by the same keys. */
	readonly #told = new Map<string, number>();

	/** Guesses the class of an endpoint by the one that was last at its address, unless it was measured here. */
	guess(standing: EndpointStanding): void {
		const known = this.#classes.get(name(standing.endpoint));
		if (known && standing.ownClassMs === undefined) {
			standing.guessClass(known.classMs);
		}
	}

	/** Learns what this process has measured of an endpoint. */
	record({endpoint: {service, address}, ownClassMs}: EndpointStanding): void {
		if (ownClassMs !== undefined) {
			this.#keep({service, address, classMs: ownClassMs});
		}
	}

	/** Learns what others have told. */
	learn(entry: EndpointClass): void {
		this.#keep(entry);
		this.#told.set(name(entry), entry.classMs);
	}

	/** Classes that others don't know yet. */
	listNews(): EndpointClass[] {
		return [...this.#classes.values()].filter(entry => isNews(entry.classMs, this.#told.get(name(entry))));
	}

	/** Notes that the store holds them. */
	noteTold(entries: readonly EndpointClass[]): void {
		for (const entry of entries) {
			this.#told.set(name(entry), entry.classMs);
		}
	}

	#keep(entry: EndpointClass): void {
		const key = name(entry);
		this.#classes.delete(key);
		this.#classes.set(key, entry);
		if (this.#classes.size > maxClasses) {
			const [oldest] = this.#classes.keys();
			this.#classes.delete(oldest!);
			this.#told.delete(oldest!);
		}
	}
}

function name({service, address}: {service: string; address: string}): string {
	return `${service}/${address}`;
}

function isNews(classMs: number, told: number | undefined): boolean {
	return told === undefined || classMs > told * newsFactor || told > classMs * newsFactor;
}
