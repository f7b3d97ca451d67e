/**
 * Classification of failed calls by whether they may have had an effect.
 */
import {describeError, LayerError} from '@wasabiusher/shared';
import {PlatformError, type PlatformErrorCode} from './errors.js';

/** Error codes of undici for requests that it did not send. */
const unsentCodes: ReadonlyMap<string, PlatformErrorCode> = new Map([
	['UND_ERR_CONNECT_TIMEOUT', 'unavailable'],
	['UND_ERR_INVALID_ARG', 'refused'],
	['UND_ERR_NOT_SUPPORTED', 'refused'],
]);

/** System calls that precede the sending of data. */
const connectCalls = new Set(['connect', 'getaddrinfo']);

/** Error codes of undici for connections on which no data was received within the timeout. */
const silenceCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Abort reason of a call that has timed out, to distinguish it from an abort by the caller. */
export class DeadlineError extends LayerError<'deadline'> {
	override readonly name = 'DeadlineError';
}

function readText(error: unknown, field: 'code' | 'syscall'): string {
	// Errors of the runtime have fields that their type does not declare.
	return error instanceof Error && field in error ? String(Reflect.get(error, field)) : '';
}

function listErrors(error: unknown): unknown[] {
	return error instanceof AggregateError ? error.errors : [error];
}

/** Returns whether the call failed before a connection was established. The attempts for several addresses of a name give an `AggregateError`. */
function isConnectFailure(error: unknown): boolean {
	return listErrors(error).every(part => connectCalls.has(readText(part, 'syscall')));
}

/** Converts any failure of a call to a `PlatformError`; its code is `unknown` unless it is certain that nothing was sent. */
export function toPlatformError(error: unknown): PlatformError {
	if (error instanceof PlatformError) {
		return error;
	}

	const code = unsentCodes.get(readText(error, 'code')) ?? (isConnectFailure(error) ? 'unavailable' : 'unknown');
	return new PlatformError(code, describeError(error), error);
}

/** Returns whether a call failed because nothing was received in time, so that its connection may be silent. */
export function isSilence(error: unknown): boolean {
	return error instanceof DeadlineError || silenceCodes.has(readText(error, 'code'));
}
