/**
 * Which endpoints of a service are kept at the newest weights of which model.
 *
 * Load pattern: three trainers share six endpoints and publish a version each every few seconds. With every model loaded
 * everywhere each endpoint is told to load three times as often, and none takes new texts for about a second then. Each
 * endpoint therefore follows one model.
 *
 * The trainers' steps differ: one has short texts only, two have texts that are twice as long and over twice the work. With as many
 * endpoints each, those of the first stand idle while texts of the others wait for seconds and are made at the pace of a full
 * endpoint. So a model's share follows the work of its steps, and fast endpoints are dealt by who has the long texts, which
 * decide when a step is whole. An endpoint that changes its model loads once more, so shares and places change only for
 * a clear gain.
 */
import {rankCandidate} from '@wasabiusher/shared';
import {shareFast, splitBySpeed} from './fast-shares.js';
import type {Policy} from './policy.js';

/** An endpoint with the versions of the models that it holds. */
export type ModelHolder = {
	id: string;
	versions: ReadonlyMap<string, number>;
	/** Its best pace of late, in milliseconds for an event; undefined while unknown. */
	paceMs?: number;
};

/** What the steps of a model ask for of late. */
export type ModelNeed = {
	/** Work of a step, in any unit that the models have in common. */
	work: number;
	/** Its longest texts, in the same unit. */
	longest: number;
};

export type PlacementInput = {
	/** Endpoints that can serve now. */
	holders: readonly ModelHolder[];
	/** The newest version of each model. */
	published: ReadonlyMap<string, number>;
	/** Models without an entry are taken to need as little as possible, if any has one. */
	needs: ReadonlyMap<string, ModelNeed>;
	/** The model that each endpoint was given before, as far as known; what endpoints hold tells it for the others. */
	last?: ReadonlyMap<string, string>;
};

/** How endpoints are shared among models; see `Policy`. */
export type PlacementWay = Policy['placement'];

/**
 * How much an endpoint's part of the work must differ to go to another model, as a part of an endpoint. Hints of lengths are far off for
 * single texts, so that the work of steps differs by a tenth from one to the next.
 */
const keepBonus = 0.3;

/**
 * Models that each endpoint is to follow.
 *
 * @returns endpoint ids and the models they follow; with fewer endpoints than models each follows all
 */
export function placeModels(input: PlacementInput, way: PlacementWay = 'by-need'): Map<string, readonly string[]> {
	return placers[way](input);
}

const placers: Readonly<Record<PlacementWay, (input: PlacementInput) => Map<string, readonly string[]>>> = {
	'by-need': placeByNeed,
	even: input => placeByNeed({...input, needs: new Map(), holders: input.holders.map(holder => ({...holder, paceMs: undefined}))}),
	'all-models': ({holders}) => placeEverywhere(holders),
};

function placeEverywhere(holders: readonly ModelHolder[]): Map<string, readonly string[]> {
	return new Map(holders.map(({id, versions}) => [id, [...versions.keys()]]));
}

function placeByNeed(input: PlacementInput): Map<string, readonly string[]> {
	const {holders} = input;
	const models = [...new Set(holders.flatMap(({versions}) => [...versions.keys()]))].toSorted((a, b) => a.localeCompare(b));
	if (models.length < 2 || holders.length < models.length) {
		return placeEverywhere(holders);
	}

	const followed = new Map(holders.map(holder => [holder.id, input.last?.get(holder.id) ?? findFollowed(holder, input)]));
	const shares = shareEndpoints(models, input, followed);
	const places = fillShares(models, shares, input, followed);
	return new Map(holders.flatMap(holder => places.has(holder) ? [[holder.id, [places.get(holder)!]]] : []));
}

/** The model that an endpoint has followed so far: the only one that is least behind its newest version there. */
function findFollowed({versions}: ModelHolder, {published}: PlacementInput): string | undefined {
	const lags = [...versions].map(([model, version]) => ({model, lag: Math.max(0, (published.get(model) ?? version) - version)}));
	const least = Math.min(...lags.map(({lag}) => lag));
	const followed = lags.filter(({lag}) => lag === least);
	return followed.length === 1 ? followed[0]!.model : undefined;
}

function count(followed: ReadonlyMap<string, string | undefined>, model: string): number {
	return [...followed.values()].filter(other => other === model).length;
}

/** How many endpoints each model gets: one at least, the rest by work; one more goes to who has it already unless another lacks clearly more. */
function shareEndpoints(models: readonly string[], {holders, needs}: PlacementInput, followed: ReadonlyMap<string, string | undefined>): Map<string, number> {
	const works = models.map(model => needs.size === 0 ? 1 : toWork(needs.get(model)?.work));
	const total = Math.max(Number.EPSILON, works.reduce((sum, work) => sum + work, 0));
	const quotas = new Map(models.map((model, i) => [model, holders.length * works[i]! / total]));
	const shares = new Map(models.map(model => [model, Math.max(1, Math.floor(quotas.get(model)!))]));
	const lack = (model: string) => quotas.get(model)! - shares.get(model)! + (count(followed, model) > shares.get(model)! ? keepBonus : 0);
	for (let left = holders.length - sum(shares); left !== 0; left = holders.length - sum(shares)) {
		const byLack = models.toSorted((a, b) => lack(b) - lack(a));
		const chosen = left > 0 ? byLack[0]! : byLack.findLast(model => shares.get(model)! > 1)!;
		shares.set(chosen, shares.get(chosen)! + Math.sign(left));
	}

	return shares;
}

/** Greatest work or length that counts, so that sums and squares stay finite; far more than any step asks for. */
const mostWork = 1e15;

/** What can't be counted with counts for nothing. */
export function toWork(work = 0): number {
	return Number.isFinite(work) ? Math.min(mostWork, Math.max(0, work)) : 0;
}

function sum(shares: ReadonlyMap<string, number>): number {
	return [...shares.values()].reduce((total, share) => total + share, 0);
}

/** Gives each model its part of the fast endpoints, then of all others; of either first those that have followed it. */
function fillShares(models: readonly string[], shares: ReadonlyMap<string, number>, {holders, needs}: PlacementInput, followed: ReadonlyMap<string, string | undefined>): Map<ModelHolder, string> {
	const places = new Map<ModelHolder, string>();
	const {fast, others} = splitBySpeed(holders);
	const held = new Map(models.map(model => [model, fast.filter(({id}) => followed.get(id) === model).length]));
	const parts = shareFast(models, {
		fast: fast.length, shares, needs, held,
	});
	const fill = (candidates: readonly ModelHolder[], countFree: (model: string) => number) => {
		for (const isOwn of [true, false]) {
			for (const model of models) {
				const fit = candidates.filter(holder => !places.has(holder) && holder.versions.has(model) && (!isOwn || followed.get(holder.id) === model));
				for (const holder of sortByRank(fit, model).slice(0, Math.max(0, countFree(model)))) {
					places.set(holder, model);
				}
			}
		}
	};

	const countPlaced = (model: string, among: readonly ModelHolder[]) => among.filter(holder => places.get(holder) === model).length;
	fill(fast, model => parts.get(model)! - countPlaced(model, fast));
	fill(others, model => shares.get(model)! - countPlaced(model, holders));
	// What is left of the fast ones where a model holds too few of the others.
	fill(holders, model => shares.get(model)! - countPlaced(model, holders));
	return places;
}

function sortByRank(holders: readonly ModelHolder[], model: string): ModelHolder[] {
	return holders
		.map(holder => ({holder, rank: rankCandidate(model, holder.id)}))
		.toSorted((a, b) => b.rank - a.rank)
		.map(({holder}) => holder);
}
