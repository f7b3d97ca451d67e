/**
 * Which endpoints of a service are kept at the newest weights of which model.
 *
 * Load pattern: three trainers share six endpoints and publish a version each every few seconds. With every model loaded
 * everywhere each endpoint is told to load three times as often, and each load stops it for about a second. Each
 * endpoint therefore follows one model; the models share the endpoints evenly, and an endpoint keeps
 * the model whose newest weights it has.
 */
import {rankCandidate} from '@wasabiusher/shared';

/** An endpoint with the versions of the models that it holds. */
export type ModelHolder = {id: string; versions: ReadonlyMap<string, number>};

/**
 * Models that each endpoint is to follow.
 *
 * @param holders - endpoints that can serve now
 * @returns endpoint ids and the models they follow; with fewer endpoints than models each follows all
 */
export function placeModels(holders: readonly ModelHolder[]): Map<string, readonly string[]> {
	const models = [...new Set(holders.flatMap(({versions}) => [...versions.keys()]))].toSorted((a, b) => a.localeCompare(b));
	if (models.length < 2 || holders.length < models.length) {
		return new Map(holders.map(({id, versions}) => [id, [...versions.keys()]]));
	}

	const free = new Set(holders);
	const placed = new Map<string, readonly string[]>();
	for (const [i, model] of models.entries()) {
		const share = Math.ceil(free.size / (models.length - i));
		for (const holder of listBest([...free], model).slice(0, share)) {
			free.delete(holder);
			placed.set(holder.id, [model]);
		}
	}

	return placed;
}

/** Endpoints in the order in which they suit a model: those that have followed it so far, then by rank. */
function listBest(holders: readonly ModelHolder[], model: string): ModelHolder[] {
	return holders
		.filter(({versions}) => versions.has(model))
		.toSorted((a, b) => findLead(b, model) - findLead(a, model) || rankCandidate(model, b.id) - rankCandidate(model, a.id));
}

/** How far a model's version at an endpoint is ahead of the other models' there. */
function findLead({versions}: ModelHolder, model: string): number {
	const others = [...versions].filter(([name]) => name !== model).map(([, version]) => version);
	return (versions.get(model) ?? 0) - Math.max(0, ...others);
}
