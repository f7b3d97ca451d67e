/**
 * Checks bearer tokens in constant time.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {createProblem} from '@wasabiusher/shared';
import {ProblemError} from './errors.js';

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}

/** Throws a `ProblemError` unless the request carries one of the tokens. Without tokens, which settings allow on loopback only, every request passes. */
export function checkToken(request: IncomingMessage, tokens: readonly string[]): void {
	if (tokens.length === 0) {
		return;
	}

	const given = digest((request.headers.authorization ?? '').replace(/^Bearer /v, ''));
	// Compares all tokens, so that the duration does not reveal which one matched.
	const matches = tokens.map(token => timingSafeEqual(digest(token), given));
	if (!matches.includes(true)) {
		throw new ProblemError(createProblem('unauthorized', 'a bearer token is required', 'no'));
	}
}
