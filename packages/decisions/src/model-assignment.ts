/**
 * Assigns the endpoints of a service to models: each is kept at the newest weights of its model.
 *
 * Load pattern: three trainers share six endpoints and publish a version each every few seconds. If every endpoint holds every model, it has to load
 * three times as often, and takes no new generations for about a second each time. Each endpoint therefore follows one model.
 *
 * The trainers' steps differ: one has short generations only, two have generations that are twice as long and over twice the work. With equal numbers of
 * endpoints, those of the first are idle while generations of the others wait for seconds and run at the pace of a full endpoint. So the
 * number of endpoints of a model follows the work of its steps, and fast endpoints go to models with long generations, which decide when a step is
 * complete. An endpoint that changes its model has to load once more, so assignments change only for a clear gain.
 */
import {rankCandidate} from '@wasabiusher/shared';
import {allocateFastEndpoints, splitBySpeed} from './fast-endpoint-allocation.js';
import type {Policy} from './policy.js';

/** An endpoint with the versions of the models that it holds. */
export type ModelEndpoint = {
	id: string;
	versions: ReadonlyMap<string, number>;
	/** Its best recent pace, in milliseconds per event; undefined while unknown. */
	paceMs?: number;
};

/** Recent demand of the steps of a model. */
export type ModelDemand = {
	/** Work of a step, in any unit that the models share. */
	work: number;
	/** Length of its longest generations, in the same unit. */
	longest: number;
};

export type ModelAssignmentInput = {
	/** Endpoints that can serve now. */
	endpoints: readonly ModelEndpoint[];
	/** Newest version of each model. */
	published: ReadonlyMap<string, number>;
	/** Demand by model. If any model has an entry, those without one count as having minimal demand. */
	demands: ReadonlyMap<string, ModelDemand>;
	/** Previously assigned model of each endpoint, as far as known; for other endpoints it is derived from the versions that they hold. */
	last?: ReadonlyMap<string, string>;
};

/** How endpoints are divided among models; see `Policy`. */
export type ModelAssignmentStrategy = Policy['placement'];

/**
 * Bonus for a model that already has the endpoint, as a fraction of an endpoint. Length hints are far off for single generations, so that the work of
 * steps differs by a tenth from one to the next.
 */
const retentionBonus = 0.3;

/**
 * Returns the models that each endpoint should follow.
 *
 * @returns models by endpoint id; with fewer endpoints than models each endpoint follows all models
 */
export function assignModels(input: ModelAssignmentInput, strategy: ModelAssignmentStrategy = 'by-need'): Map<string, readonly string[]> {
	return strategies[strategy](input);
}

const strategies: Readonly<Record<ModelAssignmentStrategy, (input: ModelAssignmentInput) => Map<string, readonly string[]>>> = {
	'by-need': assignByDemand,
	even: input => assignByDemand({...input, demands: new Map(), endpoints: input.endpoints.map(endpoint => ({...endpoint, paceMs: undefined}))}),
	'all-models': ({endpoints}) => assignAllModels(endpoints),
};

function assignAllModels(endpoints: readonly ModelEndpoint[]): Map<string, readonly string[]> {
	return new Map(endpoints.map(({id, versions}) => [id, [...versions.keys()]]));
}

function assignByDemand(input: ModelAssignmentInput): Map<string, readonly string[]> {
	const {endpoints} = input;
	const models = [...new Set(endpoints.flatMap(({versions}) => [...versions.keys()]))].toSorted((a, b) => a.localeCompare(b));
	if (models.length < 2 || endpoints.length < models.length) {
		return assignAllModels(endpoints);
	}

	const currentModels = new Map(endpoints.map(endpoint => [endpoint.id, input.last?.get(endpoint.id) ?? findCurrentModel(endpoint, input)]));
	const shares = allocateEndpoints(models, input, currentModels);
	const assignments = assignEndpoints(models, shares, input, currentModels);
	return new Map(endpoints.flatMap(endpoint => assignments.has(endpoint) ? [[endpoint.id, [assignments.get(endpoint)!]]] : []));
}

/** Returns the model that an endpoint has followed so far: the only one whose version there is closest to its newest one; undefined if several are. */
function findCurrentModel({versions}: ModelEndpoint, {published}: ModelAssignmentInput): string | undefined {
	const lags = [...versions].map(([model, version]) => ({model, lag: Math.max(0, (published.get(model) ?? version) - version)}));
	const minLag = Math.min(...lags.map(({lag}) => lag));
	const mostCurrent = lags.filter(({lag}) => lag === minLag);
	return mostCurrent.length === 1 ? mostCurrent[0]!.model : undefined;
}

function countEndpoints(currentModels: ReadonlyMap<string, string | undefined>, model: string): number {
	return [...currentModels.values()].filter(other => other === model).length;
}

/**
 * Returns the number of endpoints of each model: at least one, the rest by work. A model keeps an endpoint that it already has unless another model has
 * a clearly larger shortage.
 */
function allocateEndpoints(models: readonly string[], {endpoints, demands}: ModelAssignmentInput, currentModels: ReadonlyMap<string, string | undefined>): Map<string, number> {
	const works = models.map(model => demands.size === 0 ? 1 : clampWork(demands.get(model)?.work));
	const total = Math.max(Number.EPSILON, works.reduce((sum, work) => sum + work, 0));
	const quotas = new Map(models.map((model, i) => [model, endpoints.length * works[i]! / total]));
	const shares = new Map(models.map(model => [model, Math.max(1, Math.floor(quotas.get(model)!))]));
	const findShortage = (model: string) => quotas.get(model)! - shares.get(model)! + (countEndpoints(currentModels, model) > shares.get(model)! ? retentionBonus : 0);
	for (let left = endpoints.length - sum(shares); left !== 0; left = endpoints.length - sum(shares)) {
		const byShortage = models.toSorted((a, b) => findShortage(b) - findShortage(a));
		const chosen = left > 0 ? byShortage[0]! : byShortage.findLast(model => shares.get(model)! > 1)!;
		shares.set(chosen, shares.get(chosen)! + Math.sign(left));
	}

	return shares;
}

/** Maximum work or length that counts, so that sums and squares stay finite; far more than any step needs. */
const maxWork = 1e15;

/** Returns the work within bounds; values that are not finite count as 0. */
export function clampWork(work = 0): number {
	return Number.isFinite(work) ? Math.min(maxWork, Math.max(0, work)) : 0;
}

function sum(shares: ReadonlyMap<string, number>): number {
	return [...shares.values()].reduce((total, share) => total + share, 0);
}

/** Assigns each model its number of fast endpoints, then of all others, in both cases first those that already follow it. */
function assignEndpoints(
	models: readonly string[],
	shares: ReadonlyMap<string, number>,
	{endpoints, demands}: ModelAssignmentInput,
	currentModels: ReadonlyMap<string, string | undefined>,
): Map<ModelEndpoint, string> {
	const assignments = new Map<ModelEndpoint, string>();
	const {fast, others} = splitBySpeed(endpoints);
	const heldFast = new Map(models.map(model => [model, fast.filter(({id}) => currentModels.get(id) === model).length]));
	const fastShares = allocateFastEndpoints(models, {
		fast: fast.length, shares, demands, heldFast,
	});
	const fill = (candidates: readonly ModelEndpoint[], countFree: (model: string) => number) => {
		for (const isOwn of [true, false]) {
			for (const model of models) {
				const fit = candidates.filter(endpoint => !assignments.has(endpoint) && endpoint.versions.has(model) && (!isOwn || currentModels.get(endpoint.id) === model));
				for (const endpoint of sortByRank(fit, model).slice(0, Math.max(0, countFree(model)))) {
					assignments.set(endpoint, model);
				}
			}
		}
	};

	const countAssigned = (model: string, among: readonly ModelEndpoint[]) => among.filter(endpoint => assignments.get(endpoint) === model).length;
	fill(fast, model => fastShares.get(model)! - countAssigned(model, fast));
	fill(others, model => shares.get(model)! - countAssigned(model, endpoints));
	// Assigns the remaining fast endpoints where a model holds too few of the others.
	fill(endpoints, model => shares.get(model)! - countAssigned(model, endpoints));
	return assignments;
}

function sortByRank(endpoints: readonly ModelEndpoint[], model: string): ModelEndpoint[] {
	return endpoints
		.map(endpoint => ({endpoint, rank: rankCandidate(model, endpoint.id)}))
		.toSorted((a, b) => b.rank - a.rank)
		.map(({endpoint}) => endpoint);
}
