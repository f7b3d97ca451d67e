/**
 * The headers by which callers say how a request is to be served.
 */
import type {IncomingMessage} from 'node:http';
import {createProblem, type Configuration, type Profile} from '@wasabiusher/shared';
import {ProblemError} from './errors.js';

export type CallHeaders = {
	profileName: string;
	profile: Profile;
	caller: string;
	/** On the monotonic clock, in milliseconds. */
	deadlineAt: number;
	idempotencyKey?: string;
};

function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function refuse(detail: string): never {
	throw new ProblemError(createProblem('bad-request', detail, 'no'));
}

/** Reads and checks the headers; throws `ProblemError` naming the bad one. */
export function readCallHeaders(request: IncomingMessage, {profiles}: Configuration): CallHeaders {
	const arrivedAt = performance.now();
	const profileName = readHeader(request, 'wasabiusher-profile') ?? refuse('header Wasabiusher-Profile is required');
	const profile = profiles[profileName] ?? refuse(`header Wasabiusher-Profile: there is no profile "${profileName}"`);
	const timeout = readHeader(request, 'wasabiusher-timeout-ms');
	const timeoutMs = timeout === undefined ? profile.deadlineMs : Number(timeout);
	if (!Number.isFinite(timeoutMs) || timeoutMs <= 0) {
		refuse(`header Wasabiusher-Timeout-Ms: expected a positive number of milliseconds, got "${timeout}"`);
	}

	return {
		profileName,
		profile,
		caller: readHeader(request, 'wasabiusher-caller') ?? request.socket.remoteAddress ?? 'unknown',
		deadlineAt: arrivedAt + timeoutMs,
		idempotencyKey: readHeader(request, 'idempotency-key'),
	};
}
