/**
 * Paces of endpoints that hosts tell each other.
 *
 * Load pattern: a host measures thirty endpoints, and each thing that it tells goes to all hosts; so it tells of some at a time, by turns.
 */
import type {PersistentSpeeds} from './persistent-speeds.js';
import type {EndpointStanding} from './endpoint-state.js';

/** Chooses what to tell, and takes in what others tell. */
export class ReportedPaces {
	readonly #speeds: PersistentSpeeds;
	/** Where the next turn begins. */
	#offset = 0;

	constructor(speeds: PersistentSpeeds) {
		this.#speeds = speeds;
	}

	/** Best paces of late that this process has measured, in milliseconds for a unit; of `most` endpoints at most. */
	list(states: readonly EndpointStanding[], maxCount: number): Record<string, number> {
		const known = states.flatMap(({endpoint: {id}, ownBestMs}) => ownBestMs === undefined ? [] : [[id, Math.round(ownBestMs * 10) / 10] as const]);
		const offset = known.length > maxCount ? this.#offset % known.length : 0;
		this.#offset = offset + maxCount;
		return Object.fromEntries([...known, ...known].slice(offset, offset + Math.min(maxCount, known.length)));
	}

	/** Learns what another process has measured. */
	record(paces: Readonly<Record<string, number>>, findState: (id: string) => EndpointStanding | undefined): void {
		for (const [id, unitMs] of Object.entries(paces)) {
			const state = findState(id);
			if (state) {
				const {service, address} = state.endpoint;
				state.recordReportedPace(unitMs);
				this.#speeds.learn({service, address, classMs: unitMs});
				this.#speeds.guess(state);
			}
		}
	}
}
