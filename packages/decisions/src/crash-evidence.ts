/**
 * Distinguishes a crash of an endpoint from a single failed request.
 *
 * Load pattern: links lose connections and partially failing endpoints reset some of their requests, hundreds a minute, while a request that crashes
 * endpoints is rare. A request that failed without an answer is evidence only if its endpoint is found to be down close to that time: it can't be connected
 * to, has restarted, or is no longer registered. The endpoint may be found to be down before the run fails, as a silent crash leaves runs open.
 */
import {dropOldest} from '@wasabiusher/shared';

/** Time between the failure of a run and the discovery that its endpoint is down, in milliseconds, either of which may come first: a registration that is not renewed disappears within that time. */
const evidenceMs = 6000;

/** Maximum number of requests remembered per endpoint, and of endpoints; the oldest are removed first. */
const maxBroken = 64;
const maxEndpoints = 1000;

/** One run of a request at an endpoint. */
export type EndpointRun = {
	endpoint: string;
	/** Start of the incarnation of the endpoint at which it ran, in milliseconds; undefined if the endpoint does not report it. */
	bornMs?: number;
	/** When the run began, on the monotonic clock in milliseconds. */
	startedAt: number;
};

/** An incarnation of an endpoint. */
export type EndpointIncarnation = Pick<EndpointRun, 'endpoint' | 'bornMs'>;

type BrokenRun = {fingerprint: string; bornMs: number | undefined; at: number};

type Discovery = {bornMs: number | undefined; at: number};

/** Tracks requests that recently failed without an answer, and endpoints that were recently found to be down. */
export class CrashEvidence {
	/** Failed runs by endpoint. */
	readonly #broken = new Map<string, BrokenRun[]>();
	/** When endpoints were last found to be down, and their incarnation. */
	readonly #down = new Map<string, Discovery>();

	/**
	 * Records a run that failed without an answer, and may have begun.
	 *
	 * @returns whether the endpoint was found to be down during the run, which makes it a crash
	 */
	recordBroken({endpoint, bornMs, startedAt}: EndpointRun, fingerprint: string, now: number): boolean {
		const down = this.#down.get(endpoint);
		if (down && down.at >= startedAt && now - down.at <= evidenceMs && isUpTo(bornMs, down.bornMs)) {
			return true;
		}

		const broken = this.#broken.get(endpoint) ?? [];
		broken.push({fingerprint, bornMs, at: now});
		if (broken.length > maxBroken) {
			broken.shift();
		}

		this.#broken.delete(endpoint);
		this.#broken.set(endpoint, broken);
		dropOldest(this.#broken, maxEndpoints);
		return false;
	}

	/** Whether no failed run is remembered. */
	get isEmpty(): boolean {
		return this.#broken.size === 0;
	}

	/** Whether a run at the endpoint has failed and its endpoint was not found to be down since. */
	hasBroken(endpoint: string): boolean {
		return this.#broken.has(endpoint);
	}

	/** Records that a request was completed after its earlier runs had failed, so that these say nothing of a crash. */
	recordFinished(fingerprint: string): void {
		for (const [endpoint, runs] of this.#broken) {
			const left = runs.filter(run => run.fingerprint !== fingerprint);
			if (left.length === 0) {
				this.#broken.delete(endpoint);
			} else {
				this.#broken.set(endpoint, left);
			}
		}
	}

	/** Returns the incarnations at which a request has recently failed without an answer. */
	listBroken(fingerprint: string, now: number): EndpointIncarnation[] {
		return [...this.#broken].flatMap(([endpoint, runs]) => {
			const births = new Set(runs.filter(run => run.fingerprint === fingerprint && now - run.at <= evidenceMs).map(({bornMs}) => bornMs));
			return [...births].map(bornMs => ({endpoint, bornMs}));
		});
	}

	/**
	 * Records that an incarnation of an endpoint is down, and with it all earlier ones.
	 *
	 * @returns the fingerprints of the requests in flight when it crashed, by incarnation; each crash is returned once
	 */
	takeCrashed({endpoint, bornMs}: EndpointIncarnation, now: number): Map<number | undefined, string[]> {
		this.#down.delete(endpoint);
		this.#down.set(endpoint, {bornMs, at: now});
		dropOldest(this.#down, maxEndpoints);
		const broken = this.#broken.get(endpoint) ?? [];
		const left = broken.filter(run => !isUpTo(run.bornMs, bornMs));
		this.#broken.delete(endpoint);
		if (left.length > 0) {
			this.#broken.set(endpoint, left);
		}

		const crashed = new Map<number | undefined, string[]>();
		for (const run of broken) {
			if (isUpTo(run.bornMs, bornMs) && now - run.at <= evidenceMs) {
				crashed.set(run.bornMs, [...new Set([...crashed.get(run.bornMs) ?? [], run.fingerprint])]);
			}
		}

		return crashed;
	}
}

/** Whether an incarnation is the given one or an earlier one; true if either is unknown. */
function isUpTo(bornMs: number | undefined, limitMs: number | undefined): boolean {
	return bornMs === undefined || limitMs === undefined || bornMs <= limitMs;
}
