/**
 * Tracks the published versions of each model, the interval between publications and the time that endpoints take to load them.
 */
import {defaultPolicy, shouldLoad, type Policy} from '@wasabiusher/decisions';

/** Assumed load time until one was measured, in milliseconds. */
const initialLoadMs = 1000;

/** Weight of a new load time, and of a new interval between publications, in their exponential means. */
const smoothingFactor = 0.3;

/** Longest interval between publications that is averaged, in milliseconds: the pause of a stopped trainer doesn't predict the next publication. */
const maxIntervalMs = 30_000;

type Publication = {version: number; receivedAt: number; intervalMs: number | undefined};

/** Endpoints that have to load a model. */
export type LoadGroup = {
	model: string;
	/** Number of endpoints that still have to load it. */
	endpoints: number;
	/** Number of endpoints that may load it at once. */
	width: number;
};

/** Decides when a model's endpoints should load. */
export class LoadSchedule {
	readonly #policy: Policy;
	readonly #findWaiting: (model: string) => number | undefined;
	readonly #published = new Map<string, Publication>();
	#loadMs = initialLoadMs;

	/** @param findWaiting - number of generations of a model that have not begun, over all hosts; undefined if unknown */
	constructor(policy = defaultPolicy, findWaiting: (model: string) => number | undefined = () => undefined) {
		this.#policy = policy;
		this.#findWaiting = findWaiting;
	}

	/** The newest published version of each model. */
	get versions(): ReadonlyMap<string, number> {
		return new Map([...this.#published].map(([model, {version}]) => [model, version]));
	}

	/** The newest published version of a model. */
	findVersion(model: string): number | undefined {
		return this.#published.get(model)?.version;
	}

	/** Mean time of recent loads, in milliseconds. */
	get loadMs(): number {
		return this.#loadMs;
	}

	/** Records a published version; one that is older than the known one is ignored. */
	publish(model: string, version: number): void {
		const known = this.#published.get(model);
		if (version <= (known?.version ?? 0)) {
			return;
		}

		const receivedAt = performance.now();
		this.#published.set(model, {version, receivedAt, intervalMs: known && findInterval(known, receivedAt)});
	}

	/** Records the time of a load, in milliseconds. */
	recordLoad(loadMs: number): void {
		this.#loadMs += smoothingFactor * (loadMs - this.#loadMs);
	}

	/** Whether a model's endpoints should load its newest version now. */
	isDue({model, ...group}: LoadGroup): boolean {
		const published = this.#published.get(model);
		if (!published) {
			return false;
		}

		const {receivedAt, intervalMs} = published;
		const {loadDelayMs, timesLoads} = this.#policy;
		return shouldLoad({
			...group, sinceMs: performance.now() - receivedAt, waitingGenerations: timesLoads ? this.#findWaiting(model) : undefined, loadMs: this.#loadMs, intervalMs,
		}, loadDelayMs);
	}
}

/** Mean interval between publications in milliseconds, without intervals beyond the maximum. */
function findInterval({receivedAt, intervalMs}: Publication, now: number): number | undefined {
	const elapsedMs = now - receivedAt;
	if (elapsedMs > maxIntervalMs) {
		return intervalMs;
	}

	return intervalMs === undefined ? elapsedMs : intervalMs + (smoothingFactor * (elapsedMs - intervalMs));
}
