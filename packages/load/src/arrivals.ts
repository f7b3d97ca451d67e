/**
 * Draws the send time, caller and length of each request. All requests are drawn before the run, so that a
 * slow system does not reduce its own load.
 */
import type {Random} from '@wasabiusher/shared';
import type {LoadSettings} from './settings.js';

/** A scheduled request. */
export type Arrival = {
	id: string;
	/** Time since the start of the run, in milliseconds. */
	atMs: number;
	caller: string;
	tokens: number;
};

type Pattern = {
	/** Request rate at a time, as a multiple of the average. */
	rateAt(atMs: number): number;
	pickCaller(random: Random, callers: number): number;
	pickTokens(random: Random, tokens: number): number;
};

/** A burst lasts a tenth of its period and contains half of the requests, so its rate is five times the average. */
const burstPeriodMs = 5000;
const burstFraction = 0.1;
const burstRate = 5;
const quietRate = 0.5 / 0.9;

/** Fraction of the requests that the hot caller sends. */
const hotShare = 0.8;

/** Fraction of long requests, and their length as a multiple of the usual length. */
const longShare = 0.05;
const longFactor = 16;

const pickAny = (random: Random, callers: number) => random.integer(0, callers - 1);

const steady: Pattern = {
	rateAt: () => 1,
	pickCaller: pickAny,
	pickTokens: (_random, tokens) => tokens,
};

const patterns: Readonly<Record<LoadSettings['pattern'], Pattern>> = {
	steady,
	burst: {...steady, rateAt: atMs => (atMs % burstPeriodMs) / burstPeriodMs < burstFraction ? burstRate : quietRate},
	'hot-caller': {...steady, pickCaller: (random, callers) => random.next() < hotShare ? 0 : pickAny(random, callers)},
	'long-among-short': {...steady, pickTokens: (random, tokens) => random.next() < longShare ? tokens * longFactor : tokens},
};

/** Draws all requests of a run as Poisson arrivals at the pattern's rate, sorted by time. */
export function createArrivals({pattern: name, rate, seconds, requests, callers, tokens, seed}: LoadSettings, random: Random): Arrival[] {
	const pattern = patterns[name];
	const arrivals: Arrival[] = [];
	let atMs = 0;
	while (arrivals.length < requests) {
		atMs += random.exponential(1000 / (rate * pattern.rateAt(atMs)));
		if (atMs >= seconds * 1000) {
			break;
		}

		arrivals.push({
			id: `${seed}-${arrivals.length}`, atMs, caller: `caller-${pattern.pickCaller(random, callers)}`, tokens: pattern.pickTokens(random, tokens),
		});
	}

	return arrivals;
}
