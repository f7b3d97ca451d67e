/**
 * Reads the request headers that select the profile, the deadline, the caller's name and the idempotency key.
 */
import type {IncomingMessage} from 'node:http';
import type {Configuration, Profile} from '@wasabiusher/shared';
import {rejectRequest} from './errors.js';

export type CallHeaders = {
	profileName: string;
	profile: Profile;
	caller: string;
	/** Monotonic clock, in milliseconds. */
	deadlineAt: number;
	idempotencyKey?: string;
};

/** Maximum length of a caller's name, in characters. Bounds memory: the name is kept as long as the state of its caller. */
const maxCallerLength = 128;

/** Maximum length of an idempotency key, in characters; the usual limit for this header. */
const maxKeyLength = 255;

/** Maximum deadline, in milliseconds: one day, as for profiles. Timers of the runtime overflow after 24 days. */
const maxTimeoutMs = 86_400_000;

function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name.toLowerCase()];
	return Array.isArray(value) ? value[0] : value;
}

function readText(request: IncomingMessage, name: string, maxLength: number): string | undefined {
	const value = readHeader(request, name);
	if (value !== undefined && (value.length === 0 || value.length > maxLength)) {
		rejectRequest(`header ${name}: expected 1 to ${maxLength} characters, got ${value.length}`);
	}

	return value;
}

function readTimeoutMs(request: IncomingMessage): number | undefined {
	const name = 'Wasabiusher-Timeout-Ms';
	const text = readHeader(request, name);
	if (text === undefined) {
		return undefined;
	}

	// `Number('')` is 0.
	const timeoutMs = text.trim() === '' ? Number.NaN : Number(text);
	if (!Number.isFinite(timeoutMs) || timeoutMs > maxTimeoutMs) {
		rejectRequest(`header ${name}: expected milliseconds up to ${maxTimeoutMs}, got "${text.slice(0, 64)}"`);
	}

	if (timeoutMs <= 0) {
		rejectRequest(`header ${name}: the deadline has passed already, got "${text}"`);
	}

	return timeoutMs;
}

/** Reads and validates the headers; throws a `ProblemError` that names the invalid header. */
export function readCallHeaders(request: IncomingMessage, {profiles}: Configuration): CallHeaders {
	const arrivedAt = performance.now();
	const profileName = readHeader(request, 'Wasabiusher-Profile') ?? rejectRequest('header Wasabiusher-Profile is required');
	const profile = Object.hasOwn(profiles, profileName)
		? profiles[profileName]!
		: rejectRequest(`header Wasabiusher-Profile: there is no profile "${profileName.slice(0, 64)}"`);
	return {
		profileName,
		profile,
		caller: readText(request, 'Wasabiusher-Caller', maxCallerLength) ?? request.socket.remoteAddress ?? 'unknown',
		deadlineAt: arrivedAt + (readTimeoutMs(request) ?? profile.deadlineMs),
		idempotencyKey: readText(request, 'Idempotency-Key', maxKeyLength),
	};
}
