/**
 * Scores complete texts: calls the scorer and retries until it answers.
 *
 * Load pattern: one call in a few dozen takes several times as long as the others, and a step is complete only when the last of its groups is scored. A
 * slow call is hedged at a second endpoint, within the attempts that its route allows.
 */
import {Buffer} from 'node:buffer';
import {DirectCall, type QueuePosition, type CallSettings} from '@wasabiusher/direct';
import {findCurrentRoute, type Deployment, type Route} from '@wasabiusher/shared';
import type {Sample} from './batch.js';
import {pause} from './pause.js';

/** Pause between calls for one score, in milliseconds. */
const scoreRetryMs = 50;

/** Maximum endpoints that one call uses: a second one if the first is slow or fails. */
const maxOpenCalls = 2;

/** Maximum time for one call, in milliseconds, if its route allows more. */
const maxAttemptMs = 3000;

/** Settings of calls but the tracker of poison requests: a sample is owed whatever happens to the endpoints that run it, and so is its score. */
export type ScoringSettings = Omit<CallSettings, 'findRoute' | 'poisonRequests'> & {
	/** Returns the active configuration. */
	findDeployment(): Deployment | undefined;
};

/**
 * Calls the scorer until it answers.
 *
 * @param signal - aborts when the score is no longer wanted
 * @param findPosition - returns the position in the wait queue of the host; determined by the route if undefined
 * @returns the stamp of the scorer's answer; undefined once calls have failed as often as the route allows, or after the signal has aborted
 */
export async function scoreSample(settings: ScoringSettings, {id: sample, score}: Sample, signal: AbortSignal, findPosition?: (route: Route) => QueuePosition): Promise<string | undefined> {
	const {id, host, path, body} = score!;
	const {log} = settings;
	// A score may be made again, whatever the kind of its route.
	const findScoreRoute = (): Route | undefined => {
		const route = findCurrentRoute(settings.findDeployment(), {host, path});
		return route && {...route, kind: 'idempotent'};
	};

	let failures = 0;
	while (!signal.aborted) {
		const route = findScoreRoute();
		if (route) {
			const call = new DirectCall({...settings, findRoute: findScoreRoute}, {...route, maxAttempts: Math.min(maxOpenCalls, route.maxAttempts - failures)}, {
				method: 'POST', path, host, headers: {}, body: Buffer.from(body, 'base64'), attemptId: id,
				deadlineAt: performance.now() + Math.min(maxAttemptMs, route.timeoutMs), queuePosition: findPosition?.(route),
			}, signal);
			// Sequential, so that each attempt is counted before the next call.
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
