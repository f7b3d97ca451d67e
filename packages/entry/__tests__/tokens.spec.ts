import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ProblemError} from '../src/errors.js';
import {checkToken} from '../src/tokens.js';

function createRequest(authorization?: string): IncomingMessage {
	// The check reads only this header.
	return {headers: {authorization}} as unknown as IncomingMessage;
}

describe('checkToken', () => {
	it('accepts each of the tokens', () => {
		checkToken(createRequest('Bearer a'), ['a', 'b']);
		checkToken(createRequest('Bearer b'), ['a', 'b']);
	});

	it('rejects missing, malformed and unknown tokens', () => {
		for (const authorization of [undefined, '', 'Bearer ', 'Bearer c', 'Bearer aa', 'Basic a']) {
			expect(() => {
				checkToken(createRequest(authorization), ['a', 'b']);
			}, String(authorization)).to.throw(ProblemError);
		}
	});

	it('accepts any request if no token is set, which settings allow on loopback only', () => {
		checkToken(createRequest(), []);
	});
});
