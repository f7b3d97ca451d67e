/**
 * Allocates the fast endpoints of a service to its models.
 *
 * Load pattern: a quarter of the endpoints generates an event in half the time, and four trainers have generations that differ in length by ten to one.
 * The longest generations of a step decide when it is complete, and on a slow endpoint one of them takes longer than the step may. A model without fast
 * endpoints is late with every step; one that gets more than its long generations can fill gains nothing from them.
 */
import {clampWork, type ModelEndpoint, type ModelDemand} from './model-assignment.js';

/** Factor over the best pace up to which an endpoint counts as fast: full endpoints are a fifth slower than idle ones. */
const fastPaceFactor = 1.22;

/** Bonus for a model that already has the fast endpoint, as a fraction of an endpoint: each change costs two loads. */
const retentionBonus = 0.6;

/** Input of the allocation. */
export type FastAllocationInput = {
	/** Number of fast endpoints. */
	fast: number;
	/** Total number of endpoints of each model. */
	shares: ReadonlyMap<string, number>;
	demands: ReadonlyMap<string, ModelDemand>;
	/** Number of fast endpoints that each model has at present. */
	heldFast: ReadonlyMap<string, number>;
};

/** Returns the fast endpoints and the others, including those of unknown pace. If all known paces are similar, no endpoint counts as fast. */
export function splitBySpeed(endpoints: readonly ModelEndpoint[]): {fast: ModelEndpoint[]; others: ModelEndpoint[]} {
	const paces = endpoints.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]);
	const limitMs = Math.min(...paces) * fastPaceFactor;
	const isFast = ({paceMs}: ModelEndpoint) => paceMs !== undefined && paceMs <= limitMs;
	if (paces.every(paceMs => paceMs <= limitMs)) {
		return {fast: [], others: [...endpoints]};
	}

	return {fast: endpoints.filter(endpoint => isFast(endpoint)), others: endpoints.filter(endpoint => !isFast(endpoint))};
}

/**
 * Returns the number of fast endpoints of each model, at most its share: in proportion to its work and to the square of the length of its longest
 * generations, since a generation that is twice as long is twice as much work and twice as likely to determine the duration of the step.
 */
export function allocateFastEndpoints(models: readonly string[], {fast, shares, demands, heldFast}: FastAllocationInput): Map<string, number> {
	const weights = new Map(models.map(model => {
		const {work, longest} = demands.get(model) ?? {work: 1, longest: 1};
		return [model, clampWork(work) * (clampWork(longest) ** 2)];
	}));
	const total = Math.max(Number.EPSILON, [...weights.values()].reduce((sum, weight) => sum + weight, 0));
	const quotas = new Map(models.map(model => [model, Math.min(shares.get(model)!, fast * weights.get(model)! / total)]));
	const fastShares = new Map(models.map(model => [model, Math.floor(quotas.get(model)!)]));
	const findShortage = (model: string) => quotas.get(model)! - fastShares.get(model)! + (heldFast.get(model)! > fastShares.get(model)! ? retentionBonus : 0);
	for (let left = fast - [...fastShares.values()].reduce((sum, part) => sum + part, 0); left > 0; left -= 1) {
		const [next] = models.filter(model => fastShares.get(model)! < shares.get(model)!).toSorted((a, b) => findShortage(b) - findShortage(a) || a.localeCompare(b));
		if (next === undefined) {
			break;
		}

		fastShares.set(next, fastShares.get(next)! + 1);
	}

	return fastShares;
}
