/**
 * The handshake of a link, at both ends: challenge, hello, welcome.
 */
import type {WebSocket} from 'ws';
import {decodeMessage, encodeMessage} from './codec.js';
import {LinkError} from './errors.js';
import type {Inbox} from './inbox.js';
import {
	protocolVersion, type Message, type MessageKind, type MessageOf,
} from './messages.js';
import {createNonce, createProof, findProvingKey} from './proof.js';

/** The keys that hold: the first proves, all of them verify. */
export type LinkKeys = readonly [string, ...string[]];

/** Who we are and which keys hold; a function is asked at each handshake, so that keys change without a restart. */
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
		throw new LinkError('protocol', `expected ${kind}, got ${message.kind}`);
	}

	return message;
}

function checkProtocol(protocol: number): void {
	if (protocol !== protocolVersion) {
		throw new LinkError('protocol', `peer speaks protocol ${protocol}, expected ${protocolVersion}`);
	}
}

function checkProof(isProved: boolean, sender: string): void {
	if (!isProved) {
		throw new LinkError('unauthorized', `${sender} has not proved that it holds a valid key`);
	}
}

/**
 * Accepts a link; returns the peer's proven name. Throws `LinkError`.
 *
 * @param handshakeMs - longest wait for each message, in milliseconds
 */
export async function acceptHandshake(socket: WebSocket, inbox: Inbox, identity: Identity, handshakeMs: number): Promise<string> {
	const {name} = identity;
	const nonce = createNonce();
	socket.send(encodeMessage({kind: 'challenge', protocol: protocolVersion, nonce}));
	const hello = await receiveOne(inbox, 'hello', handshakeMs);
	checkProtocol(hello.protocol);
	const nonces = [nonce, hello.nonce] as const;
	const key = findProvingKey(readKeys(identity), hello.proof, {side: 'hello', sender: hello.sender, nonces});
	checkProof(key !== undefined, hello.sender);
	socket.send(encodeMessage({
		kind: 'welcome', protocol: protocolVersion, sender: name, proof: createProof(key!, {side: 'welcome', sender: name, nonces}),
	}));
	return hello.sender;
}

/**
 * Opens a link; returns the peer's proven name. Throws `LinkError`.
 *
 * @param handshakeMs - longest wait for each message, in milliseconds
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
	checkProof(findProvingKey(keys, welcome.proof, {side: 'welcome', sender: welcome.sender, nonces}) !== undefined, welcome.sender);
	return welcome.sender;
}
