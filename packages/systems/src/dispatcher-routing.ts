/**
 * Chooses the endpoint of a call's next attempt: prepares the candidates of the routing decision,
 * and isolates requests that are suspected of crashing endpoints.
 */
import {
	chooseEndpoint, chooseIsolation, PrefixIndex, splitPrefix, type Candidate, type Verdict,
} from '@wasabiusher/decisions';
import type {Work} from '@wasabiusher/link';
import type {Random} from '@wasabiusher/shared';
import type {Call} from './call.js';
import type {EndpointRow, EndpointTable} from './dispatcher-endpoints.js';
import type {Pool} from './dispatcher-pool.js';
import type {SuspicionExchange} from './suspicion-exchange.js';

/** Results of the attempts of a call so far. */
export type AttemptHistory = {
	/** Endpoints that have failed or refused the call. */
	tried: ReadonlySet<string>;
	/** Number of endpoints that crashed while the call was in flight there. */
	crashes: number;
};

export type Route
	= | {kind: 'endpoint'; id: string; isSuspect: boolean}
		| {kind: 'none'}
		| {kind: 'quarantined'; retryAfterMs: number};

export type RouterSettings = {
	endpoints: EndpointTable;
	suspicions: Pick<SuspicionExchange, 'judge'>;
	random: Random;
	/** Data centre of this entry. */
	dataCentre?: string;
};

/** Number of crashes after which a request is not run again. */
const maxCrashes = 2;

/** Quarantine of a request that has crashed two endpoints within one call, in milliseconds; equal to the first quarantine of `PoisonGuard`. */
const quarantineMs = 600_000;

/**
 * Assumed time per unit of work, in milliseconds, until the first measurement: engines generate about
 * 100 tokens per second and stream, plain services answer within a few milliseconds. With a far lower value,
 * the cost of the distance to other data centres would keep all of a first burst at the nearest endpoints.
 */
const initialMsPerCost: Readonly<Record<Work['kind'], number>> = {generate: 10, forward: 5};

/** Chooses endpoints for one entry. */
export class Router {
	readonly prefixes = new PrefixIndex();
	readonly #settings: RouterSettings;
	readonly #prefixBlocks = new WeakMap<Call, string[]>();

	constructor(settings: RouterSettings) {
		this.#settings = settings;
	}

	choose(call: Call, pool: Pool, {tried, crashes}: AttemptHistory): Route {
		const {endpoints, suspicions} = this.#settings;
		const verdict: Verdict = crashes >= maxCrashes
			? {kind: 'quarantined', retryAfterMs: quarantineMs}
			: suspicions.judge(call.fingerprint);
		if (verdict.kind === 'quarantined') {
			return verdict;
		}

		const rows = endpoints.listEligible(call).filter(({id}) => !tried.has(id));
		const isSuspect = verdict.kind === 'isolate' || crashes > 0;
		const id = isSuspect
			? chooseIsolation(call.fingerprint, rows.map(row => row.id), verdict.kind === 'isolate' ? verdict.avoid : [])
			: this.#chooseByLoad(call, pool, rows);
		return id === undefined ? {kind: 'none'} : {kind: 'endpoint', id, isSuspect};
	}

	/** Records that an endpoint was sent a call, and will have its prompt cached. */
	recordSent(call: Call, endpoint: string): void {
		const blocks = this.#getPrefixBlocks(call);
		if (blocks.length > 0) {
			this.prefixes.recordSent(endpoint, blocks, performance.now());
		}
	}

	#chooseByLoad(call: Call, pool: Pool, rows: readonly EndpointRow[]): string | undefined {
		const {random, dataCentre} = this.#settings;
		const blocks = this.#getPrefixBlocks(call);
		const poolMs = pool.estimateMs(call.cost) ?? initialMsPerCost[call.work.kind] * call.cost;
		const now = performance.now();
		// An ejected endpoint is better than none, for example if no other has loaded the model.
		const isAnyInUse = rows.some(({id}) => !pool.ejection.isEjected(id));
		const candidates = rows.map((row): Candidate => ({
			id: row.id,
			load: row.load.estimate(now, poolMs),
			limit: row.status!.limit,
			dataCentre: row.dataCentre,
			serviceMs: row.msPerCost === undefined ? poolMs : row.msPerCost * call.cost,
			cached: this.prefixes.match(row.id, blocks),
			isEjected: isAnyInUse && pool.ejection.isEjected(row.id),
		}));
		return chooseEndpoint(candidates, random, {dataCentre})?.id;
	}

	#getPrefixBlocks(call: Call): string[] {
		let blocks = this.#prefixBlocks.get(call);
		if (!blocks) {
			blocks = splitPrefix(call.prefix ?? '');
			this.#prefixBlocks.set(call, blocks);
		}

		return blocks;
	}
}
