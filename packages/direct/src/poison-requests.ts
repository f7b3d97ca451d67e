/**
 * Interface between calls and the tracking of poison requests, which crash the endpoints that run them.
 */
import type {CallerRequest} from './call.js';

/** Tracks the requests that crash endpoints. */
export type CrashWatch = {
	/** Time until a poison request may be retried, in milliseconds; undefined if the request may run now. */
	findRefusalMs(request: CallerRequest): number | undefined;
	/** Records that a request got no answer and may have run. */
	noteBroken(endpoint: string, request: CallerRequest): void;
	/** Records that an endpoint is unreachable or has restarted. */
	noteDown(endpoint: string): void;
	/** Records that an endpoint has answered a request, which shows that the request isn't poison. */
	noteFinished(request: CallerRequest): void;
};

/** Reason given to the caller of a refused poison request. */
export const poisonRequestReason = 'the request has crashed endpoints';

/** A failed attempt at an endpoint. */
export type BrokenAttempt = {
	endpoint: string;
	request: CallerRequest;
	/** Whether the request is proven not to have run. */
	isNotRun: boolean;
	hasRestarted: boolean;
};

/** Reports a failed attempt to the tracker, if there is one. */
export function recordBrokenAttempt(watch: CrashWatch | undefined, {endpoint, request, isNotRun, hasRestarted}: BrokenAttempt): void {
	if (!isNotRun) {
		watch?.noteBroken(endpoint, request);
	}

	if (isNotRun || hasRestarted) {
		watch?.noteDown(endpoint);
	}
}
