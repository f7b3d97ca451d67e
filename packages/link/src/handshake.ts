/**
 * The handshake of a link, for both sides: challenge, hello, welcome.
 */
import type {WebSocket} from 'ws';
import {decodeMessage, encodeMessage} from './codec.js';
import {LinkError} from './errors.js';
import type {Inbox} from './inbox.js';
import {
	protocolVersion, type Message, type MessageKind, type MessageOf,
} from './messages.js';
import {createNonce, createProof, findMatchingKey} from './proof.js';

/** The valid keys: the first one signs own proofs, all of them verify proofs of peers. */
export type LinkKeys = readonly [string, ...string[]];

/** Name and valid keys of this process; a function is called at each handshake, so that keys can change without a restart. */
export type Identity = {
	name: string;
	keys: LinkKeys | (() => LinkKeys);
};

function readKeys({keys}: Identity): LinkKeys {
	return typeof keys === 'function' ? keys() : keys;
}

function isKind<Kind extends MessageKind>(message: Message, kind: Kind): message is MessageOf<Kind> {
	return message.kind === kind;
}

async function receiveOne<Kind extends MessageKind>(inbox: Inbox, kind: Kind, handshakeMs: number): Promise<MessageOf<Kind>> {
	const message = decodeMessage(await inbox.next(handshakeMs));
	if (!isKind(message, kind)) {
		throw new LinkError('protocol', `expected message ${kind}, got ${message.kind}`);
	}

	return message;
}

function checkProtocol(protocol: number): void {
	if (protocol !== protocolVersion) {
		throw new LinkError('protocol', `peer uses protocol version ${protocol}, expected ${protocolVersion}`);
	}
}

function checkProof(isValid: boolean, sender: string): void {
	if (!isValid) {
		throw new LinkError('unauthorized', `expected a proof of ${sender} with a valid key; none of the valid keys matches`);
	}
}

/**
 * Performs the server side of the handshake; returns the authenticated name of the peer. Throws `LinkError`.
 *
 * @param handshakeMs - maximum wait for each message, in milliseconds
 */
export async function acceptHandshake(socket: WebSocket, inbox: Inbox, identity: Identity, handshakeMs: number): Promise<string> {
	const {name} = identity;
	const nonce = createNonce();
	socket.send(encodeMessage({kind: 'challenge', protocol: protocolVersion, nonce}));
	const hello = await receiveOne(inbox, 'hello', handshakeMs);
	checkProtocol(hello.protocol);
	const nonces = [nonce, hello.nonce] as const;
	const key = findMatchingKey(readKeys(identity), hello.proof, {side: 'hello', sender: hello.sender, nonces});
	checkProof(key !== undefined, hello.sender);
	socket.send(encodeMessage({
		kind: 'welcome', protocol: protocolVersion, sender: name, proof: createProof(key!, {side: 'welcome', sender: name, nonces}),
	}));
	return hello.sender;
}

/**
 * Performs the client side of the handshake; returns the authenticated name of the peer. Throws `LinkError`.
 *
 * @param handshakeMs - maximum wait for each message, in milliseconds
 */
export async function offerHandshake(socket: WebSocket, inbox: Inbox, identity: Identity, handshakeMs: number): Promise<string> {
	const {name} = identity;
	const challenge = await receiveOne(inbox, 'challenge', handshakeMs);
	checkProtocol(challenge.protocol);
	const keys = readKeys(identity);
	const nonces = [challenge.nonce, createNonce()] as const;
	socket.send(encodeMessage({
		kind: 'hello', protocol: protocolVersion, sender: name, nonce: nonces[1], proof: createProof(keys[0], {side: 'hello', sender: name, nonces}),
	}));
	const welcome = await receiveOne(inbox, 'welcome', handshakeMs);
	checkProtocol(welcome.protocol);
	checkProof(findMatchingKey(keys, welcome.proof, {side: 'welcome', sender: welcome.sender, nonces}) !== undefined, welcome.sender);
	return welcome.sender;
}
