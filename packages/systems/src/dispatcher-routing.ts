/**
 * Where a call's next attempt goes: the candidates as the routing decision wants them,
 * and the exception for requests that are suspected of crashing endpoints.
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

/** What a call has met so far. */
export type History = {
	/** Endpoints that have failed or refused it. */
	tried: ReadonlySet<string>;
	/** Endpoints that crashed while it was in flight there. */
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

/** Crashes after which a request does not run again. */
const maxCrashes = 2;

/** First term of a request that has crashed two endpoints within one call, in milliseconds; as the guard's. */
const quarantineMs = 600_000;

/**
 * Time of a unit of work, in milliseconds, until the first has been measured: engines make some
 * 100 tokens a second in a stream, plain services answer in some milliseconds. Taken far too
 * low, the way to another data centre would keep all of a first burst at the nearest endpoints.
 */
const coldMsPerCost: Readonly<Record<Work['kind'], number>> = {generate: 10, forward: 5};

/** Chooses endpoints for one entry. */
export class Router {
	readonly prefixes = new PrefixIndex();
	readonly #settings: RouterSettings;
	readonly #blocks = new WeakMap<Call, string[]>();

	constructor(settings: RouterSettings) {
		this.#settings = settings;
	}

	choose(call: Call, pool: Pool, {tried, crashes}: History): Route {
		const {endpoints, suspicions} = this.#settings;
		const verdict: Verdict = crashes >= maxCrashes
			? {kind: 'quarantined', retryAfterMs: quarantineMs}
			: suspicions.judge(call.fingerprint);
		if (verdict.kind === 'quarantined') {
			return verdict;
		}

		const rows = endpoints.listFor(call).filter(({id}) => !tried.has(id));
		const isSuspect = verdict.kind === 'isolate' || crashes > 0;
		const id = isSuspect
			? chooseIsolation(call.fingerprint, rows.map(row => row.id), verdict.kind === 'isolate' ? verdict.avoid : [])
			: this.#compare(call, pool, rows);
		return id === undefined ? {kind: 'none'} : {kind: 'endpoint', id, isSuspect};
	}

	/** A call was sent there, so its prompt will be cached there. */
	recordSent(call: Call, endpoint: string): void {
		const blocks = this.#findBlocks(call);
		if (blocks.length > 0) {
			this.prefixes.recordSent(endpoint, blocks, performance.now());
		}
	}

	#compare(call: Call, pool: Pool, rows: readonly EndpointRow[]): string | undefined {
		const {random, dataCentre} = this.#settings;
		const blocks = this.#findBlocks(call);
		const poolMs = pool.estimateMs(call.cost) ?? coldMsPerCost[call.work.kind] * call.cost;
		const now = performance.now();
		// One that was taken out of use is better than none, as when no other holds the model.
		const isAnyUsed = rows.some(({id}) => !pool.ejection.isEjected(id));
		const candidates = rows.map((row): Candidate => ({
			id: row.id,
			load: row.load.estimate(now, poolMs),
			limit: row.status!.limit,
			dataCentre: row.dataCentre,
			serviceMs: row.msPerCost === undefined ? poolMs : row.msPerCost * call.cost,
			cached: this.prefixes.match(row.id, blocks),
			isEjected: isAnyUsed && pool.ejection.isEjected(row.id),
		}));
		return chooseEndpoint(candidates, random, {dataCentre})?.id;
	}

	#findBlocks(call: Call): string[] {
		let blocks = this.#blocks.get(call);
		if (!blocks) {
			blocks = splitPrefix(call.prefix ?? '');
			this.#blocks.set(call, blocks);
		}

		return blocks;
	}
}
