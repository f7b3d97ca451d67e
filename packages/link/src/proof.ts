/**
 * Proof that a peer has a valid key: an HMAC over fresh nonces of both sides.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** Nonce size, in bytes; 128 random bits can't be guessed and do not repeat in practice. */
const nonceBytes = 16;

/** Creates a value that is used once; a replayed hello is rejected because the nonce has changed. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

/** The content that a proof signs: one side of one handshake. */
export type Statement = {
	side: 'hello' | 'welcome';
	sender: string;
	/** Nonce of the server, then nonce of the client. */
	nonces: readonly [string, string];
};

/** Creates the proof of possession of a key, in hexadecimal. */
export function createProof(key: string, {side, sender, nonces}: Statement): string {
	return createHmac('sha256', key).update([side, sender, ...nonces].join('\n')).digest('hex');
}

/** Finds the key that the proof was created with; undefined if it is none of the given keys. */
export function findMatchingKey(keys: readonly string[], proof: string, statement: Statement): string | undefined {
	const given = Buffer.from(proof, 'hex');
	return keys.find(key => {
		const expected = Buffer.from(createProof(key, statement), 'hex');
		return expected.length === given.length && timingSafeEqual(expected, given);
	});
}
