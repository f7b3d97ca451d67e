/**
 * What calls tell of endpoints that crash under them, and what they ask before they are sent.
 */
import type {CallerRequest} from './call.js';

/** Knows the requests that crash endpoints. */
export type CrashWatch = {
	/** Time after which a request that has crashed endpoints may be tried again, in milliseconds; undefined if it may run. */
	findRefusalMs(request: CallerRequest): number | undefined;
	/** Notes that a request broke without an answer, and may have run. */
	noteBroken(endpoint: string, request: CallerRequest): void;
	/** Notes that an endpoint can't be reached or has started again. */
	noteDown(endpoint: string): void;
	/** Notes that an endpoint has answered a request, so that it is not what crashes them. */
	noteFinished(request: CallerRequest): void;
};

/** What a caller is told whose request has crashed endpoints. */
export const poisonRequestReason = 'the request has crashed endpoints';

/** How an attempt at an endpoint has failed. */
export type BrokenAttempt = {
	endpoint: string;
	request: CallerRequest;
	/** Whether nothing can have run. */
	isNotRun: boolean;
	hasRestarted: boolean;
};

/** Tells of a failed attempt. */
export function recordBrokenAttempt(watch: CrashWatch | undefined, {endpoint, request, isNotRun, hasRestarted}: BrokenAttempt): void {
	if (!isNotRun) {
		watch?.noteBroken(endpoint, request);
	}

	if (isNotRun || hasRestarted) {
		watch?.noteDown(endpoint);
	}
}
