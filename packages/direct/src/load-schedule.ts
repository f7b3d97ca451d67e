/**
 * The published versions of each model, how often they come, and how long endpoints take to load them.
 */
import {defaultPolicy, shouldLoad, type Policy} from '@wasabiusher/decisions';

/** Time that a load is taken for while none was seen, in milliseconds. */
const initialLoadMs = 1000;

/** Weight of a new load, and of a new interval between publications, in their means. */
const smoothingFactor = 0.3;

/** Longest interval between publications that counts, in milliseconds: a trainer that stood still says nothing of the next version. */
const maxIntervalMs = 30_000;

type Publication = {version: number; receivedAt: number; intervalMs: number | undefined};

/** Endpoints that are to load a model. */
export type LoadGroup = {
	model: string;
	/** Endpoints that still must. */
	endpoints: number;
	/** Endpoints that may at once. */
	width: number;
};

/** Tells when a model's endpoints should load. */
export class LoadSchedule {
	readonly #policy: Policy;
	readonly #findWaiting: (model: string) => number | undefined;
	readonly #published = new Map<string, Publication>();
	#loadMs = initialLoadMs;

	/** @param findWaiting - texts of a model that have not begun, at all hosts; undefined if nobody tells */
	constructor(policy = defaultPolicy, findWaiting: (model: string) => number | undefined = () => undefined) {
		this.#policy = policy;
		this.#findWaiting = findWaiting;
	}

	/** The newest version of each model. */
	get versions(): ReadonlyMap<string, number> {
		return new Map([...this.#published].map(([model, {version}]) => [model, version]));
	}

	/** The newest published version of a model. */
	findVersion(model: string): number | undefined {
		return this.#published.get(model)?.version;
	}

	/** Mean time that a load took of late, in milliseconds. */
	get loadMs(): number {
		return this.#loadMs;
	}

	/** Learns of a published version; an older one than known is ignored. */
	publish(model: string, version: number): void {
		const known = this.#published.get(model);
		if (version <= (known?.version ?? 0)) {
			return;
		}

		const learntAt = performance.now();
		this.#published.set(model, {version, receivedAt: learntAt, intervalMs: known && findInterval(known, learntAt)});
	}

	/** Learns how long a load took, in milliseconds. */
	recordLoad(loadMs: number): void {
		this.#loadMs += smoothingFactor * (loadMs - this.#loadMs);
	}

	/** Whether a model's endpoints should load its newest version now. */
	isDue({model, ...group}: LoadGroup): boolean {
		const published = this.#published.get(model);
		if (!published) {
			return false;
		}

		const {receivedAt: learntAt, intervalMs} = published;
		const {loadDelayMs, timesLoads} = this.#policy;
		return shouldLoad({
			...group, sinceMs: performance.now() - learntAt, waiting: timesLoads ? this.#findWaiting(model) : undefined, loadMs: this.#loadMs, intervalMs,
		}, loadDelayMs);
	}
}

/** Mean time between publications; one that came much later than usual is left out. */
function findInterval({receivedAt: learntAt, intervalMs}: Publication, now: number): number | undefined {
	const elapsedMs = now - learntAt;
	if (elapsedMs > maxIntervalMs) {
		return intervalMs;
	}

	return intervalMs === undefined ? elapsedMs : intervalMs + (smoothingFactor * (elapsedMs - intervalMs));
}
