/**
 * Paces of endpoints that hosts tell each other.
 *
 * Load pattern: a host measures thirty endpoints, and each thing that it tells goes to all hosts; so it tells of some at a time, by turns.
 */
import type {EndpointClasses} from './endpoint-classes.js';
import type {EndpointStanding} from './endpoint-standing.js';

/** Chooses what to tell, and takes in what others tell. */
export class ToldPaces {
	readonly #classes: EndpointClasses;
	/** Where the next turn begins. */
	#from = 0;

	constructor(classes: EndpointClasses) {
		this.#classes = classes;
	}

	/** Best paces of late that this process has measured, in milliseconds for a unit; of `most` endpoints at most. */
	list(standings: readonly EndpointStanding[], most: number): Record<string, number> {
		const known = standings.flatMap(({endpoint: {id}, ownBestMs}) => ownBestMs === undefined ? [] : [[id, Math.round(ownBestMs * 10) / 10] as const]);
		const from = known.length > most ? this.#from % known.length : 0;
		this.#from = from + most;
		return Object.fromEntries([...known, ...known].slice(from, from + Math.min(most, known.length)));
	}

	/** Learns what another process has measured. */
	learn(paces: Readonly<Record<string, number>>, find: (id: string) => EndpointStanding | undefined): void {
		for (const [id, unitMs] of Object.entries(paces)) {
			const standing = find(id);
			if (standing) {
				const {service, address} = standing.endpoint;
				standing.learnPace(unitMs);
				this.#classes.learn({service, address, classMs: unitMs});
				this.#classes.guess(standing);
			}
		}
	}
}
