/**
 * Exchanges measured paces of endpoints between hosts.
 *
 * Load pattern: a host measures thirty endpoints, and each report goes to all hosts. A report therefore holds some of the endpoints, in rotation.
 */
import type {PersistentSpeeds} from './persistent-speeds.js';
import type {EndpointState} from './endpoint-state.js';

/** Selects the paces to report, and records the paces that other hosts report. */
export class ReportedPaces {
	readonly #speeds: PersistentSpeeds;
	/** Index of the first endpoint of the next report. */
	#offset = 0;

	constructor(speeds: PersistentSpeeds) {
		this.#speeds = speeds;
	}

	/** Best recent paces that this process has measured, in milliseconds per unit, of at most `maxCount` endpoints. */
	list(states: readonly EndpointState[], maxCount: number): Record<string, number> {
		const known = states.flatMap(({endpoint: {id}, ownBestMs}) => ownBestMs === undefined ? [] : [[id, Math.round(ownBestMs * 10) / 10] as const]);
		const offset = known.length > maxCount ? this.#offset % known.length : 0;
		this.#offset = offset + maxCount;
		return Object.fromEntries([...known, ...known].slice(offset, offset + Math.min(maxCount, known.length)));
	}

	/** Records paces that another process has measured, in milliseconds per unit by endpoint. */
	record(paces: Readonly<Record<string, number>>, findState: (id: string) => EndpointState | undefined): void {
		for (const [id, unitMs] of Object.entries(paces)) {
			const state = findState(id);
			if (state) {
				const {service, address} = state.endpoint;
				state.recordReportedPace(unitMs);
				this.#speeds.recordReported({service, address, classMs: unitMs});
				this.#speeds.guess(state);
			}
		}
	}
}
