/**
 * How the fast endpoints of a service are dealt to its models.
 *
 * Load pattern: a quarter of the endpoints makes an event in half the time, and four trainers have texts that differ in length by ten to one. The
 * longest texts of a step decide when it is whole, and on a slow endpoint one of them takes longer than the step may. A model that
 * gets none of the fast endpoints is late with every step, one that gets more than its long texts can fill gains nothing by them.
 */
import {clampWork, type ModelEndpoint, type ModelNeed} from './model-assignment.js';

/** Pace over the best one up to which an endpoint counts as fast, as a factor: full ones are a fifth slower than idle ones. */
const fastPaceFactor = 1.22;

/** How much a model must lack to get a fast endpoint that another model has, as a part of an endpoint: each change costs two loads. */
const retentionBonus = 0.6;

/** What the fast endpoints are dealt by. */
export type FastAllocationInput = {
	/** Fast endpoints that there are. */
	fast: number;
	/** Endpoints of each model altogether. */
	shares: ReadonlyMap<string, number>;
	demands: ReadonlyMap<string, ModelNeed>;
	/** Fast endpoints that each model has at present. */
	heldFast: ReadonlyMap<string, number>;
};

/** The fast endpoints and the others, of which some are not known yet; all are others where none is faster than the rest. */
export function splitBySpeed(endpoints: readonly ModelEndpoint[]): {fast: ModelEndpoint[]; others: ModelEndpoint[]} {
	const paces = endpoints.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]);
	const limitMs = Math.min(...paces) * fastPaceFactor;
	const isFast = ({paceMs}: ModelEndpoint) => paceMs !== undefined && paceMs <= limitMs;
	if (paces.every(paceMs => paceMs <= limitMs)) {
		return {fast: [], others: [...endpoints]};
	}

	return {fast: endpoints.filter(holder => isFast(holder)), others: endpoints.filter(holder => !isFast(holder))};
}

/**
 * How many of the fast endpoints each model gets, none more than its share: by its work, and by the square of its longest texts, since a text that is
 * twice as long is twice as much work and twice as likely to bind the step.
 */
export function allocateFastEndpoints(models: readonly string[], {fast, shares, demands: needs, heldFast: held}: FastAllocationInput): Map<string, number> {
	const weights = new Map(models.map(model => {
		const {work, longest} = needs.get(model) ?? {work: 1, longest: 1};
		return [model, clampWork(work) * (clampWork(longest) ** 2)];
	}));
	const total = Math.max(Number.EPSILON, [...weights.values()].reduce((sum, weight) => sum + weight, 0));
	const quotas = new Map(models.map(model => [model, Math.min(shares.get(model)!, fast * weights.get(model)! / total)]));
	const fastShares = new Map(models.map(model => [model, Math.floor(quotas.get(model)!)]));
	const findShortage = (model: string) => quotas.get(model)! - fastShares.get(model)! + (held.get(model)! > fastShares.get(model)! ? retentionBonus : 0);
	for (let left = fast - [...fastShares.values()].reduce((sum, part) => sum + part, 0); left > 0; left -= 1) {
		const [next] = models.filter(model => fastShares.get(model)! < shares.get(model)!).toSorted((a, b) => findShortage(b) - findShortage(a) || a.localeCompare(b));
		if (next === undefined) {
			break;
		}

		fastShares.set(next, fastShares.get(next)! + 1);
	}

	return fastShares;
}
