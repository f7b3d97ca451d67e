/**
 * Decides which endpoints load which model, adapter and role.
 *
 * Load pattern: the demand of several models shifts over minutes. Without placement, engines of a model without demand are idle while callers of another
 * model are refused; and if every shift of demand is followed, engines load weights instead of working. A change is made only if its gain outweighs its
 * cost over the time that demand usually lasts, an endpoint is not changed again for a while after a change, and no model falls below what its
 * interactive callers need.
 *
 * What an endpoint holds is identified by a name such as `model`, `model:adapter` or `model#prefill`.
 */

/** An endpoint and the name of what it holds. */
export type PlacedEndpoint = {
	id: string;
	holds: string;
	/** Time of its last change order, on the clock of `now`. */
	changedAt: number;
	/** Whether the change is still in progress. */
	isChanging?: boolean;
};

/** Demand for one model, in endpoints: the number of endpoints that it would keep busy. */
export type Demand = {
	name: string;
	total: number;
	/** Part of the total that comes from interactive callers. */
	interactive: number;
	/** Recent maximum, which determines the cost of removing an endpoint. Defaults to the total. */
	peak?: number;
	/** How long demand usually stays at such a level, in milliseconds. */
	lastsMs?: number;
};

export type PlacementSettings = {
	/** Maximum number of endpoints that change at the same time; a third by default. */
	maxChanging?: number;
	/** Time for which a change takes an endpoint out of service, in milliseconds; an adapter costs less than a model. */
	costMs(from: string, to: string): number;
};

export type Change = {id: string; from: string; to: string};

/** A model's demand and the number of endpoints that hold it; a model that is not in use has no demand. */
type ModelSupply = {demand?: Demand; count: number};

/** Assumed duration of demand until it has been measured, in milliseconds; a change must pay for itself within it. */
export const defaultLastsMs = 120_000;

/** Minimum ratio of gain to cost of a change; below it the outcome would depend on the estimation error. */
const minGainRatio = 2;

/** Minimum time between two changes of an endpoint, in milliseconds. */
const minDwellMs = 120_000;

/** Minimum number of endpoints that a model must be missing before it gets another one, so that rounding causes no changes. */
const minMissingEndpoints = 0.5;

/** Gain of a change that interactive callers need; it takes precedence over all others, whatever it costs rollouts. */
const floorChangeGainMs = Number.MAX_SAFE_INTEGER;

/** Factor by which the capacity for interactive demand exceeds it, as its bursts are short compared with a change. */
const interactiveSpareFactor = 1.25;

/** Returns the changes to order now; none if no gain outweighs its cost. */
export function planPlacement(endpoints: readonly PlacedEndpoint[], demands: readonly Demand[], settings: PlacementSettings, now: number): Change[] {
	const counts = countByModel(endpoints, demands);
	const maxChanging = settings.maxChanging ?? Math.max(1, Math.ceil(endpoints.length / 3));
	let allowedChanges = maxChanging - endpoints.filter(({isChanging}) => isChanging).length;
	let free = endpoints.filter(({isChanging, changedAt}) => !isChanging && now - changedAt >= minDwellMs);
	const changes: Change[] = [];
	while (allowedChanges > 0) {
		const change = findBestChange(free, demands, counts, settings);
		if (!change) {
			break;
		}

		changes.push(change);
		counts.set(change.from, counts.get(change.from)! - 1);
		counts.set(change.to, counts.get(change.to)! + 1);
		free = free.filter(({id}) => id !== change.id);
		allowedChanges -= 1;
	}

	return changes;
}

function countByModel(endpoints: readonly PlacedEndpoint[], demands: readonly Demand[]): Map<string, number> {
	const counts = new Map(demands.map(({name}) => [name, 0]));
	for (const {holds} of endpoints) {
		counts.set(holds, (counts.get(holds) ?? 0) + 1);
	}

	return counts;
}

function findBestChange(endpoints: readonly PlacedEndpoint[], demands: readonly Demand[], counts: ReadonlyMap<string, number>, {costMs}: PlacementSettings): Change | undefined {
	let best: Change | undefined;
	let bestGainMs = 0;
	const byName = new Map(demands.map(demand => [demand.name, demand]));
	for (const {id, holds} of endpoints) {
		for (const to of demands) {
			const gainMs = estimateGainMs({demand: byName.get(holds), count: counts.get(holds)!}, {demand: to, count: counts.get(to.name)!}, costMs(holds, to.name));
			if (to.name !== holds && gainMs > bestGainMs) {
				best = {id, from: holds, to: to.name};
				bestGainMs = gainMs;
			}
		}
	}

	return best;
}

/** Returns the work gained within the horizon minus the work lost through the change, in endpoint milliseconds; 0 if the change should not be made. */
function estimateGainMs(from: ModelSupply, to: ModelSupply, costMs: number): number {
	if (isBelowFloor({...from, count: from.count - 1})) {
		return 0;
	}

	const isNeeded = isBelowFloor(to);
	if (isBelowFloor(to)) {
		return floorChangeGainMs;
	}

	const {total = 0, lastsMs = defaultLastsMs} = to.demand ?? {};
	const missing = Math.min(1, total - to.count);
	if (missing < minMissingEndpoints) {
		return 0;
	}

	const peak = from.demand?.peak ?? from.demand?.total ?? 0;
	const lost = Math.min(1, Math.max(0, peak - (from.count - 1)));
	const gainMs = (missing - lost) * Math.max(0, lastsMs - costMs);
	return gainMs >= minGainRatio * costMs ? gainMs : 0;
}

/** Returns whether the interactive callers of a model have fewer endpoints than they need; they need at least one. */
function isBelowFloor({demand, count}: ModelSupply): boolean {
	return demand !== undefined && demand.interactive > 0 && count < Math.max(1, demand.interactive * interactiveSpareFactor);
}
