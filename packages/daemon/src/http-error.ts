/**
 * Errors of requests that can't be read.
 */
import {LayerError} from '@wasabiusher/shared';

/**
 * - `too-large`: the body exceeds the limit
 * - `malformed`: the body is not JSON
 * - `cut-off`: the request was aborted before its body was complete
 * - `no-room`: the memory for request bodies is in use; nothing has run
 */
export type HttpErrorCode = 'too-large' | 'malformed' | 'cut-off' | 'no-room';

/** An error of a request that can't be read. */
export class HttpError extends LayerError<HttpErrorCode> {
	override readonly name = 'HttpError';
	/** Time after which the request may be sent again, in milliseconds; undefined if that would not help. */
	readonly retryAfterMs: number | undefined;

	constructor(code: HttpErrorCode, message: string, cause?: unknown, retryAfterMs?: number) {
		super(code, message, cause);
		this.retryAfterMs = retryAfterMs;
	}
}
