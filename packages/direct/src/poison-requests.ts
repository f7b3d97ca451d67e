/**
 * Interface between calls and the tracking of poison requests, which crash the endpoints that run them.
 */
import type {EndpointIncarnation, EndpointRun} from '@wasabiusher/decisions';
import type {CallerRequest} from './call.js';

/** The parts of a request by which its retries are recognized, and the id of this attempt for logs. */
export type TrackedRequest = Pick<CallerRequest, 'path' | 'customer' | 'body' | 'attemptId'>;

/** Tracks the requests that crash endpoints. */
export type PoisonRequestTracker = {
	/** Time until a poison request may be retried, in milliseconds; undefined if the request may run now. */
	findRetryDelayMs(request: TrackedRequest): number | undefined;
	/** Records that an attempt begins. */
	recordAttempt(request: TrackedRequest): void;
	/** Records that a run got no answer and may have begun. */
	recordBroken(run: EndpointRun, request: TrackedRequest): void;
	/** Records that an incarnation of an endpoint is unreachable or has ended. */
	recordDown(incarnation: EndpointIncarnation): void;
	/** Records that an endpoint has completed a request, which shows that the request isn't poison. */
	recordFinished(request: TrackedRequest): void;
};

/** Reason given to the caller of a refused poison request. */
export const poisonRequestReason = 'the request has crashed endpoints';

/** A failed attempt at an endpoint. */
export type BrokenAttempt = {
	run: EndpointRun;
	request: TrackedRequest;
	/** Whether the request is proven not to have run. */
	isNotRun: boolean;
	hasRestarted: boolean;
};

/** Reports a failed attempt to the tracker, if there is one. */
export function recordBrokenAttempt(watch: PoisonRequestTracker | undefined, {run, request, isNotRun, hasRestarted}: BrokenAttempt): void {
	if (!isNotRun) {
		watch?.recordBroken(run, request);
	}

	if (isNotRun || hasRestarted) {
		watch?.recordDown(run);
	}
}
