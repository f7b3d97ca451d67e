/**
 * Checks the service's nine invariants where they could be violated, in production too.
 *
 * Each check returns whether the invariant holds; when it returns false, the caller must not continue with the action.
 * Violations are counted and logged: the count must stay at zero, and an
 * alert on it means a fault in this program, not in its environment.
 */
import {Counter, type Registry} from 'prom-client';
import type {Log, Ran, Sample} from '@wasabiusher/shared';

/** Names of the invariants, as used in the metric's label. */
export const invariantNames = [
	'versions-named',
	'fresh',
	'delivered-once',
	'own-answer',
	'not-run-true',
	'at-most-once',
	'leaving-takes-nothing',
	'shutdown-cuts-nothing',
	'configuration-forward',
] as const;

export type InvariantName = typeof invariantNames[number];

/** Time for which new work may still reach an endpoint after it is known to leave, in milliseconds. */
const leavingGraceMs = 3000;

/** Position of a frame in an answer: its request, its attempt and its sequence number. */
export type FramePosition = {request: string; attempt: number; sequence: number};

/** Staleness of a sample and its limits, as known before delivery. */
export type FreshnessFacts = {
	id: string;
	/** Number of versions that its oldest part is behind the trainer's version, and the limit. */
	versionsBehind: number;
	maxVersionsBehind: number;
	/** Time since its oldest version was superseded, in seconds, and the limit. */
	secondsBehind: number;
	maxSecondsBehind?: number;
};

/** Checks invariants, and counts and logs violations. One instance per process. */
export class Invariants {
	readonly #log: Log;
	readonly #broken: Counter<'invariant'>;

	/** @param registry - where the counter is published; undefined in tests that do not read it */
	constructor(log: Log, registry?: Registry) {
		this.#log = log;
		this.#broken = new Counter({
			name: 'wasabiusher_invariant_broken_total',
			help: 'Times that something which must always hold was about to be broken; the act was withheld',
			labelNames: ['invariant'],
			registers: registry ? [registry] : [],
		});
		for (const invariant of invariantNames) {
			this.#broken.inc({invariant}, 0);
		}
	}

	/** Records the outcome of a check that the caller has made; returns `holds`. */
	check(invariant: InvariantName, holds: boolean, detail: string): boolean {
		if (!holds) {
			this.#broken.inc({invariant});
			this.#log.error('invariant_broken', {invariant, detail});
		}

		return holds;
	}

	/** Before delivery: the sample has a version for each of its tokens, in order and without gaps. */
	checkVersionsNamed({id, versions, tokens}: Pick<Sample, 'id' | 'versions' | 'tokens'>): boolean {
		const isGapless = versions.every(({from, to}, index) => from === (versions[index - 1]?.to ?? 0) && to > from);
		return this.check('versions-named', isGapless && (versions.at(-1)?.to ?? 0) === tokens, `sample ${id}`);
	}

	/** Before delivery: the sample's staleness is within its profile's limits. */
	checkFresh({id, versionsBehind, maxVersionsBehind, secondsBehind, maxSecondsBehind = Number.POSITIVE_INFINITY}: FreshnessFacts): boolean {
		const isFresh = versionsBehind <= maxVersionsBehind && secondsBehind <= maxSecondsBehind;
		return this.check('fresh', isFresh, `sample ${id} is ${versionsBehind} versions and ${secondsBehind} s behind`);
	}

	/** Before delivery: the trainer has not received the sample yet. */
	checkDeliveredOnce(id: string, isReceived: boolean): boolean {
		return this.check('delivered-once', !isReceived, `sample ${id}`);
	}

	/** Before a frame is added to an answer: it is the next one of the same request and attempt. */
	checkOwnAnswer(expected: FramePosition, got: FramePosition): boolean {
		const isNext = got.request === expected.request && got.attempt === expected.attempt && got.sequence === expected.sequence;
		return this.check('own-answer', isNext, `expected ${formatFrame(expected)}, got ${formatFrame(got)}`);
	}

	/**
	 * Before a refusal: `no` may be reported only if no attempt may have run.
	 *
	 * @param mayHaveRun - whether an attempt was sent that was not refused before it ran
	 * @returns the value that may be reported
	 */
	checkRan(request: string, ran: Ran, mayHaveRun: boolean): Ran {
		return this.check('not-run-true', ran !== 'no' || !mayHaveRun, `request ${request}`) ? ran : 'unknown';
	}

	/** Before an attempt: a non-idempotent request is sent only if no earlier attempt may have run. */
	checkAtMostOnce(request: string, {isIdempotent, mayHaveRun}: {isIdempotent: boolean; mayHaveRun: boolean}): boolean {
		return this.check('at-most-once', isIdempotent || !mayHaveRun, `request ${request}`);
	}

	/** Before work is sent to or accepted by an endpoint; `leavingForMs` is the time since it is known to leave, in milliseconds, undefined if it is not leaving. */
	checkTakesWork(endpoint: string, leavingForMs: number | undefined): boolean {
		return this.check('leaving-takes-nothing', leavingForMs === undefined || leavingForMs <= leavingGraceMs, `endpoint ${endpoint}`);
	}

	/** At the end of a graceful shutdown: no call is open. */
	checkNothingOpen(openCalls: number): boolean {
		return this.check('shutdown-cuts-nothing', openCalls === 0, `${openCalls} open`);
	}

	/** Before a configuration comes into force: its version is higher than the current one. */
	checkConfigurationForward(current: number, next: number): boolean {
		return this.check('configuration-forward', next > current, `from ${current} to ${next}`);
	}
}

function formatFrame({request, attempt, sequence}: FramePosition): string {
	return `${request}#${attempt}:${sequence}`;
}
