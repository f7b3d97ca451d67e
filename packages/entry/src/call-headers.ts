/**
 * The headers by which callers say how a request is to be served.
 */
import type {IncomingMessage} from 'node:http';
import type {Configuration, Profile} from '@wasabiusher/shared';
import {refuseRequest} from './errors.js';

export type CallHeaders = {
	profileName: string;
	profile: Profile;
	caller: string;
	/** On the monotonic clock, in milliseconds. */
	deadlineAt: number;
	idempotencyKey?: string;
};

/** Longest name of a caller, in characters; it is kept for as long as the caller is remembered. */
const maxCallerLength = 128;

/** Longest idempotency key, in characters, as is customary for this header. */
const maxKeyLength = 255;

/** Longest deadline, in milliseconds: a day, as for profiles; the runtime's timers end at 24 days. */
const maxTimeoutMs = 86_400_000;

function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name.toLowerCase()];
	return Array.isArray(value) ? value[0] : value;
}

function readText(request: IncomingMessage, name: string, maxLength: number): string | undefined {
	const value = readHeader(request, name);
	if (value !== undefined && (value.length === 0 || value.length > maxLength)) {
		refuseRequest(`header ${name}: expected 1 to ${maxLength} characters, got ${value.length}`);
	}

	return value;
}

function readTimeoutMs(request: IncomingMessage): number | undefined {
	const name = 'Wasabiusher-Timeout-Ms';
	const text = readHeader(request, name);
	if (text === undefined) {
		return undefined;
	}

	// `Number` takes the empty text for 0.
	const timeoutMs = text.trim() === '' ? Number.NaN : Number(text);
	if (!Number.isFinite(timeoutMs) || timeoutMs > maxTimeoutMs) {
		refuseRequest(`header ${name}: expected milliseconds up to ${maxTimeoutMs}, got "${text.slice(0, 64)}"`);
	}

	if (timeoutMs <= 0) {
		refuseRequest(`header ${name}: the deadline has passed already, got "${text}"`);
	}

	return timeoutMs;
}

/** Reads and checks the headers; throws `ProblemError` naming the bad one. */
export function readCallHeaders(request: IncomingMessage, {profiles}: Configuration): CallHeaders {
	const arrivedAt = performance.now();
	const profileName = readHeader(request, 'Wasabiusher-Profile') ?? refuseRequest('header Wasabiusher-Profile is required');
	const profile = Object.hasOwn(profiles, profileName)
		? profiles[profileName]!
		: refuseRequest(`header Wasabiusher-Profile: there is no profile "${profileName.slice(0, 64)}"`);
	return {
		profileName,
		profile,
		caller: readText(request, 'Wasabiusher-Caller', maxCallerLength) ?? request.socket.remoteAddress ?? 'unknown',
		deadlineAt: arrivedAt + (readTimeoutMs(request) ?? profile.deadlineMs),
		idempotencyKey: readText(request, 'Idempotency-Key', maxKeyLength),
	};
}
