/**
 * Which endpoints hold which model, adapter and role.
 *
 * Load pattern: the demand of several models moves over minutes. Without this an engine of the model nobody asks for
 * stands idle while another's callers are refused; and if every move of the demand is followed, engines load
 * weights instead of working. A change is made only for a gain that outweighs its cost over the time that demand usually
 * lasts, one endpoint stays put for a while after it, and no model falls below what its interactive callers need.
 *
 * What an endpoint holds is one name, such as `model`, `model:adapter` or `model#prefill`.
 */

/** An endpoint and what it holds. */
export type Holder = {
	id: string;
	holds: string;
	/** When it was last ordered to change, on the clock of `now`. */
	changedAt: number;
	/** The change is still under way. */
	isChanging?: boolean;
};

/** Work that is asked of one model, in endpoints: what would keep so many busy. */
export type Demand = {
	name: string;
	total: number;
	/** Part of the total that interactive callers ask. */
	interactive: number;
	/** The most that it lately was; what an endpoint's leaving would cost. The total by default. */
	peak?: number;
	/** How long such a demand usually lasts, in milliseconds. */
	lastsMs?: number;
};

export type PlacementSettings = {
	/** Most endpoints that change at once; a third by default. */
	maxChanging?: number;
	/** Time that a change takes an endpoint out, in milliseconds; an adapter costs less than a model. */
	costMs(from: string, to: string): number;
};

export type Change = {id: string; from: string; to: string};

/** A model's demand and how many endpoints hold it; one that nobody asks for has no demand. */
type ModelSupply = {demand?: Demand; count: number};

/** Time that demand is taken to last until it is known, in milliseconds; a change must pay for itself within it. */
export const defaultLastsMs = 120_000;

/** Gain over cost that a change must show; below it the estimate's error decides. */
const minGainRatio = 2;

/** Time that an endpoint stays put after a change, in milliseconds. */
const minDwellMs = 120_000;

/** Part of an endpoint that must be lacking before another is given to a model, so that rounding moves nothing. */
const minMissingEndpoints = 0.5;

/** Gain of a change that interactive callers need; it goes before all others, whatever it costs rollouts. */
const floorChangeGainMs = Number.MAX_SAFE_INTEGER;

/** Interactive demand is met with so much to spare, as its bursts are short against a change. */
const interactiveSpareFactor = 1.25;

/** Chooses the changes to order now; none while nothing outweighs its cost. */
export function planPlacement(endpoints: readonly Holder[], demands: readonly Demand[], settings: PlacementSettings, now: number): Change[] {
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

function countByModel(endpoints: readonly Holder[], demands: readonly Demand[]): Map<string, number> {
	const counts = new Map(demands.map(({name}) => [name, 0]));
	for (const {holds} of endpoints) {
		counts.set(holds, (counts.get(holds) ?? 0) + 1);
	}

	return counts;
}

function findBestChange(endpoints: readonly Holder[], demands: readonly Demand[], counts: ReadonlyMap<string, number>, {costMs}: PlacementSettings): Change | undefined {
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

/** Work gained within the horizon less that lost by the change, in endpoint milliseconds; 0 if it should not be made. */
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

/** Whether interactive callers of a model have fewer endpoints than they need; at least one if there are any. */
function isBelowFloor({demand, count}: ModelSupply): boolean {
	return demand !== undefined && demand.interactive > 0 && count < Math.max(1, demand.interactive * interactiveSpareFactor);
}
