/**
 * Proof that a peer holds the key: a keyed hash over fresh nonces of both ends.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** 128 bits can't be guessed and do not repeat. */
const nonceBytes = 16;

/** A value used once; a replayed hello fails since the nonce has changed. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

/** What a proof is about: one side of one handshake. */
export type Statement = {
	side: 'hello' | 'welcome';
	sender: string;
	/** Of the accepting end, then of the opening end. */
	nonces: readonly [string, string];
};

/** Proves possession of a key. */
export function createProof(key: string, {side, sender, nonces}: Statement): string {
	return createHmac('sha256', key).update([side, sender, ...nonces].join('\n')).digest('hex');
}

/** Finds which of the keys valid at present made the proof; undefined if none did. */
export function findProvingKey(keys: readonly string[], proof: string, statement: Statement): string | undefined {
	const given = Buffer.from(proof, 'hex');
	return keys.find(key => {
		const expected = Buffer.from(createProof(key, statement), 'hex');
		return expected.length === given.length && timingSafeEqual(expected, given);
	});
}
