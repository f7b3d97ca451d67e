/**
 * The nine things that must always hold, checked where they could be broken, in production too.
 *
 * Each check returns whether the thing holds; when it returns false the caller must not go on with what it
 * was about to do. A broken one is counted and logged: the count must stay at zero, and an
 * alarm on it means a fault in this program, not in its surroundings.
 */
import {Counter, type Registry} from 'prom-client';
import type {Log, Ran, Sample} from '@wasabiusher/shared';

/** Names of the checks, as they stand on the metric. */
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

/** After an endpoint is known to leave, how long new work may still be under way to it, in milliseconds. */
const leavingGraceMs = 3000;

/** One frame of an answer: which request and attempt it is of, and its place. */
export type FramePlace = {request: string; attempt: number; sequence: number};

/** What is known when a sample is about to be handed over. */
export type FreshnessFacts = {
	id: string;
	/** Versions that its oldest part lies behind the trainer's, and the bound. */
	versionsBehind: number;
	maxVersionsBehind: number;
	/** Seconds since its oldest version was superseded, and the bound. */
	secondsBehind: number;
	maxSecondsBehind?: number;
};

/** Checks, counts and logs. One instance a process. */
export class Invariants {
	readonly #log: Log;
	readonly #broken: Counter<'invariant'>;

	/** @param registry - where the counter is published; none in tests that do not read it */
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

	/** Notes the outcome of a check that the caller has made itself; returns `holds`. */
	check(invariant: InvariantName, holds: boolean, detail: string): boolean {
		if (!holds) {
			this.#broken.inc({invariant});
			this.#log.error('invariant_broken', {invariant, detail});
		}

		return holds;
	}

	/** At hand-over: the sample names a version for each of its tokens, in order and without gaps. */
	checkVersionsNamed({id, versions, tokens}: Pick<Sample, 'id' | 'versions' | 'tokens'>): boolean {
		const isGapless = versions.every(({from, to}, index) => from === (versions[index - 1]?.to ?? 0) && to > from);
		return this.check('versions-named', isGapless && (versions.at(-1)?.to ?? 0) === tokens, `sample ${id}`);
	}

	/** At hand-over: the sample is within its profile's bounds. */
	checkFresh({id, versionsBehind, maxVersionsBehind, secondsBehind, maxSecondsBehind = Number.POSITIVE_INFINITY}: FreshnessFacts): boolean {
		const isFresh = versionsBehind <= maxVersionsBehind && secondsBehind <= maxSecondsBehind;
		return this.check('fresh', isFresh, `sample ${id} is ${versionsBehind} versions and ${secondsBehind} s behind`);
	}

	/** At hand-over: the trainer does not have the sample yet. */
	checkDeliveredOnce(id: string, isReceived: boolean): boolean {
		return this.check('delivered-once', !isReceived, `sample ${id}`);
	}

	/** Before a frame enters an answer: it is the next one of this very attempt. */
	checkOwnAnswer(expected: FramePlace, got: FramePlace): boolean {
		const isNext = got.request === expected.request && got.attempt === expected.attempt && got.sequence === expected.sequence;
		return this.check('own-answer', isNext, `expected ${formatFrame(expected)}, got ${formatFrame(got)}`);
	}

	/**
	 * Before a refusal: `no` may be said only while no attempt may have run.
	 *
	 * @param mayHaveRun - whether any attempt was sent that was not refused before it ran
	 * @returns what may be said
	 */
	checkRan(request: string, ran: Ran, mayHaveRun: boolean): Ran {
		return this.check('not-run-true', ran !== 'no' || !mayHaveRun, `request ${request}`) ? ran : 'unknown';
	}

	/** Before an attempt: a non-idempotent request goes out only if no earlier attempt may have run. */
	checkAtMostOnce(request: string, {isIdempotent, mayHaveRun}: {isIdempotent: boolean; mayHaveRun: boolean}): boolean {
		return this.check('at-most-once', isIdempotent || !mayHaveRun, `request ${request}`);
	}

	/** Before work is sent to or taken by an endpoint; `leavingForMs` since its leaving was known, undefined if it stays. */
	checkTakesWork(endpoint: string, leavingForMs: number | undefined): boolean {
		return this.check('leaving-takes-nothing', leavingForMs === undefined || leavingForMs <= leavingGraceMs, `endpoint ${endpoint}`);
	}

	/** At the end of a graceful shutdown: nothing is open any more. */
	checkNothingCutOff(openCalls: number): boolean {
		return this.check('shutdown-cuts-nothing', openCalls === 0, `${openCalls} open`);
	}

	/** Before a configuration comes into force: its version is higher. */
	checkConfigurationForward(current: number, next: number): boolean {
		return this.check('configuration-forward', next > current, `from ${current} to ${next}`);
	}
}

function formatFrame({request, attempt, sequence}: FramePlace): string {
	return `${request}#${attempt}:${sequence}`;
}
