/**
 * How the fast endpoints of a service are dealt to its models.
 *
 * Load pattern: a quarter of the endpoints makes an event in half the time, and four trainers have texts that differ in length by ten to one. The
 * longest texts of a step decide when it is whole, and on a slow endpoint one of them takes longer than the step may. A model that
 * gets none of the fast endpoints is late with every step, one that gets more than its long texts can fill gains nothing by them.
 */
import {toWork, type ModelHolder, type ModelNeed} from './model-placement.js';

/** Pace over the best one up to which an endpoint counts as fast, as a factor: full ones are a fifth slower than idle ones. */
const fastFactor = 1.22;

/** How much a model must lack to get a fast endpoint that another model has, as a part of an endpoint: each change costs two loads. */
const keepBonus = 0.6;

/** What the fast endpoints are dealt by. */
export type FastDeal = {
	/** Fast endpoints that there are. */
	fast: number;
	/** Endpoints of each model altogether. */
	shares: ReadonlyMap<string, number>;
	needs: ReadonlyMap<string, ModelNeed>;
	/** Fast endpoints that each model has at present. */
	held: ReadonlyMap<string, number>;
};

/** The fast endpoints and the others, of which some are not known yet; all are others where none is faster than the rest. */
export function splitBySpeed(holders: readonly ModelHolder[]): {fast: ModelHolder[]; others: ModelHolder[]} {
	const paces = holders.flatMap(({paceMs}) => paceMs === undefined ? [] : [paceMs]);
	const limitMs = Math.min(...paces) * fastFactor;
	const isFast = ({paceMs}: ModelHolder) => paceMs !== undefined && paceMs <= limitMs;
	if (paces.every(paceMs => paceMs <= limitMs)) {
		return {fast: [], others: [...holders]};
	}

	return {fast: holders.filter(holder => isFast(holder)), others: holders.filter(holder => !isFast(holder))};
}

/**
 * How many of the fast endpoints each model gets, none more than its share: by its work, and by the square of its longest texts, since a text that is
 * twice as long is twice as much work and twice as likely to bind the step.
 */
export function shareFast(models: readonly string[], {fast, shares, needs, held}: FastDeal): Map<string, number> {
	const weights = new Map(models.map(model => {
		const {work, longest} = needs.get(model) ?? {work: 1, longest: 1};
		return [model, toWork(work) * (toWork(longest) ** 2)];
	}));
	const total = Math.max(Number.EPSILON, [...weights.values()].reduce((sum, weight) => sum + weight, 0));
	const quotas = new Map(models.map(model => [model, Math.min(shares.get(model)!, fast * weights.get(model)! / total)]));
	const parts = new Map(models.map(model => [model, Math.floor(quotas.get(model)!)]));
	const lack = (model: string) => quotas.get(model)! - parts.get(model)! + (held.get(model)! > parts.get(model)! ? keepBonus : 0);
	for (let left = fast - [...parts.values()].reduce((sum, part) => sum + part, 0); left > 0; left -= 1) {
		const [next] = models.filter(model => parts.get(model)! < shares.get(model)!).toSorted((a, b) => lack(b) - lack(a) || a.localeCompare(b));
		if (next === undefined) {
			break;
		}

		parts.set(next, parts.get(next)! + 1);
	}

	return parts;
}
