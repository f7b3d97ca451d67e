/**
 * The endpoints that a share has for its own, so that hosts that work on one batch don't fill the same slots.
 */
import {divideEndpoints, splitBySpeed} from '@wasabiusher/decisions';
import type {EndpointDirectory} from '@wasabiusher/direct';
import type {BatchRecord} from './batch.js';

/** Time for which a division holds, in milliseconds; endpoints come, go and change their models within seconds. */
const divisionMs = 500;

export type ShareHomesSettings = {
	directory: EndpointDirectory;
	/** Services that may run the batch. */
	listServices(): ReadonlySet<string>;
	/** The newest published version of a model. */
	findPublished(model: string): number | undefined;
	/** The batch's row as last known. */
	findRecord(): BatchRecord;
};

/** Tells one share's endpoints. */
export class ShareHomes {
	readonly #settings: ShareHomesSettings;
	readonly #share: number;
	#homes: ReadonlySet<string> | undefined;
	#dividedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: ShareHomesSettings, share: number) {
		this.#settings = settings;
		this.#share = share;
	}

	/** Ids of the share's endpoints; undefined if it may use all alike. */
	find(): ReadonlySet<string> | undefined {
		const now = performance.now();
		if (now - this.#dividedAt >= divisionMs) {
			this.#dividedAt = now;
			const homes = this.#divide();
			// One object while they stay the same, so that those who wait for them wait together.
			this.#homes = homes && this.#homes && isSame(homes, this.#homes) ? this.#homes : homes;
		}

		return this.#homes;
	}

	#divide(): ReadonlySet<string> | undefined {
		const {directory, listServices, findPublished, findRecord} = this.#settings;
		const {shares, model} = findRecord();
		if (shares.length === 1) {
			return undefined;
		}

		const services = listServices();
		// One version back is what a batch still admits; what is older follows another model.
		const least = (findPublished(model) ?? 1) - 1;
		// By what endpoints have registered, which all hosts read alike; each host has seen other answers, and by those three of them filled one endpoint.
		const endpoints = directory.list().filter(({service, isDraining, models}) => services.has(service) && !isDraining
			&& (model === '' || models.some(held => held.model === model && held.version >= least)));
		// Lasting speeds are told to all hosts; while one does not know them yet, it may fill endpoints of another share as far as these tell room.
		const {fast} = splitBySpeed(endpoints.map(({id}) => ({id, versions: new Map(), paceMs: directory.findClassMs(id)})));
		const fastIds = new Set(fast.map(({id}) => id));
		const ids = divideEndpoints(endpoints.map(({id, dataCentre}) => ({id, dataCentre, isFast: fastIds.has(id)})), shares.map(({dataCentre}) => dataCentre))[this.#share] ?? [];
		return ids.length === 0 ? undefined : new Set(ids);
	}
}

function isSame(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
	return a.size === b.size && [...a].every(id => b.has(id));
}
