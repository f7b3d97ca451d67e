import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ProblemError} from '../src/errors.js';
import {checkToken} from '../src/tokens.js';

function createRequest(authorization?: string): IncomingMessage {
	// The check looks at this header only.
	return {headers: {authorization}} as unknown as IncomingMessage;
}

describe('checkToken', () => {
	it('takes any of the tokens', () => {
		checkToken(createRequest('Bearer a'), ['a', 'b']);
		checkToken(createRequest('Bearer b'), ['a', 'b']);
	});

	it('refuses all else', () => {
		for (const authorization of [undefined, '', 'Bearer ', 'Bearer c', 'Bearer aa', 'Basic a']) {
			expect(() => {
				checkToken(createRequest(authorization), ['a', 'b']);
			}, String(authorization)).to.throw(ProblemError);
		}
	});

	it('asks for none where none is set, which settings allow on loopback only', () => {
		checkToken(createRequest(), []);
	});
});
