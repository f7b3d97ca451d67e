/**
 * Scores of whole texts: a call to the scorer, repeated until it answers.
 *
 * Load pattern: one call in some dozen takes several times as long as the others, and a step is whole only when the last of its groups is scored. A call
 * that is slow is made a second time at another endpoint, within the attempts that its route allows.
 */
import {Buffer} from 'node:buffer';
import {DirectCall, type CallPlace, type CallSettings} from '@wasabiusher/direct';
import {findRoute, type Deployment, type Route} from '@wasabiusher/shared';
import type {Sample} from './batch.js';
import {pause} from './pause.js';

/** Pause between attempts at a score, in milliseconds. */
const scoreRetryMs = 50;

/** Most endpoints that one call asks: a second one when the first is slow or fails. */
const maxOpenCalls = 2;

/** Longest time for one attempt at a score, in milliseconds, where its route allows more. */
const maxScoreMs = 3000;

export type ScoringSettings = CallSettings & {
	/** The configuration in force. */
	findDeployment(): Deployment | undefined;
};

/**
 * Calls the scorer until it answers.
 *
 * @param signal - aborts when the score is no longer wanted
 * @param findPlace - how it waits at the host; as its route says if undefined
 * @returns the scorer's mark; undefined once it has failed as often as its route allows, or the signal has aborted
 */
export async function scoreSample(settings: ScoringSettings, {id: sample, score}: Sample, signal: AbortSignal, findPlace?: (route: Route) => CallPlace): Promise<string | undefined> {
	const {id, host, path, body} = score!;
	const {log} = settings;
	let failures = 0;
	while (!signal.aborted) {
		const deployment = settings.findDeployment();
		const route = deployment && findRoute(deployment, host, path);
		if (route) {
			const call = new DirectCall(settings, {...route, kind: 'idempotent', maxAttempts: Math.min(maxOpenCalls, route.maxAttempts - failures)}, {
				method: 'POST', path, host, headers: {}, body: Buffer.from(body, 'base64'), attemptId: id,
				deadlineAt: performance.now() + Math.min(maxScoreMs, route.timeoutMs), place: findPlace?.(route),
			}, signal);
			// Calls follow one another, so that each attempt is counted.
			// eslint-disable-next-line no-await-in-loop
			const outcome = await call.run();
			if (outcome.kind === 'answered' && outcome.answer.status < 300 && outcome.answer.isFramed && outcome.answer.stamp !== undefined) {
				return outcome.answer.stamp;
			}

			if (call.failureCount > 0) {
				failures += call.failureCount;
				log.info('score_failed', {sample, failures, limit: route.maxAttempts});
				if (failures >= route.maxAttempts) {
					return undefined;
				}
			}
		}

		// eslint-disable-next-line no-await-in-loop
		await pause(scoreRetryMs);
	}

	return undefined;
}
