/**
 * When requests are sent, by whom and how long they are. Drawn before the run, so that a
 * slow system does not slow its load down.
 */
import type {Random} from '@wasabiusher/shared';
import type {LoadSettings} from './settings.js';

/** One request to be sent. */
export type Arrival = {
	id: string;
	/** After the start, in milliseconds. */
	atMs: number;
	caller: string;
	tokens: number;
};

type Pattern = {
	/** Rate at a time, as a multiple of the average. */
	rateAt(atMs: number): number;
	pickCaller(random: Random, callers: number): number;
	pickTokens(random: Random, tokens: number): number;
};

/** A burst lasts a tenth of its period and carries half of the requests: five times the average. */
const burstPeriodMs = 5000;
const burstFraction = 0.1;
const burstRate = 5;
const quietRate = 0.5 / 0.9;

/** Share of the requests that the hot caller sends. */
const hotShare = 0.8;

/** Share of long requests, and how many times as long they are. */
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

/** Draws all requests of a run, in order of time; Poisson arrivals at the pattern's rate. */
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
