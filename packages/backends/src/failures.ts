/**
 * What a failure proves about the effect of a call.
 */
import {describeError, LayerError} from '@wasabiusher/shared';
import {PlatformError, type PlatformErrorCode} from './errors.js';

/** Codes of undici for requests that it did not send. */
const unsentCodes: ReadonlyMap<string, PlatformErrorCode> = new Map([
	['UND_ERR_CONNECT_TIMEOUT', 'unavailable'],
	['UND_ERR_INVALID_ARG', 'refused'],
	['UND_ERR_NOT_SUPPORTED', 'refused'],
]);

/** System calls that come before anything is sent. */
const connectCalls = new Set(['connect', 'getaddrinfo']);

/** Codes that tell of a connection on which nothing came any more. */
const silenceCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Set on the abort of a call whose time is up, to tell it from the caller's own abort. */
export class DeadlineError extends LayerError<'deadline'> {
	override readonly name = 'DeadlineError';
}

function readText(error: unknown, field: 'code' | 'syscall'): string {
	// Errors of the runtime carry fields that their type does not name.
	return error instanceof Error && field in error ? String(Reflect.get(error, field)) : '';
}

function listErrors(error: unknown): unknown[] {
	return error instanceof AggregateError ? error.errors : [error];
}

/** Whether a failed connection is all that happened; several are tried when a name has several addresses. */
function isConnectFailure(error: unknown): boolean {
	return listErrors(error).every(part => connectCalls.has(readText(part, 'syscall')));
}

/** Turns any failure of a call into what is known of its effect: `unknown` unless it is proven that nothing was sent. */
export function toPlatformError(error: unknown): PlatformError {
	if (error instanceof PlatformError) {
		return error;
	}

	const code = unsentCodes.get(readText(error, 'code')) ?? (isConnectFailure(error) ? 'unavailable' : 'unknown');
	return new PlatformError(code, describeError(error), error);
}

/** Whether the connection of a failed call may have gone silent. */
export function isSilence(error: unknown): boolean {
	return error instanceof DeadlineError || silenceCodes.has(readText(error, 'code'));
}
