/**
 * Bearer tokens, compared in constant time.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {createProblem} from '@wasabiusher/shared';
import {ProblemError} from './errors.js';

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** Throws `ProblemError` unless the request carries one of the tokens; none are set on loopback only. */
export function checkToken(request: IncomingMessage, tokens: readonly string[]): void {
	if (tokens.length === 0) {
		return;
	}

	const given = digest((request.headers.authorization ?? '').replace(/^Bearer /v, ''));
	// All tokens are compared, so that the time does not tell which one matched.
	const matches = tokens.map(token => timingSafeEqual(digest(token), given));
	if (!matches.includes(true)) {
		throw new ProblemError(createProblem('unauthorized', 'a bearer token is required', 'no'));
	}
}
