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

/** Longest handshake, in milliseconds; a peer that is slower is as good as gone. */
const handshakeMs = 5000;

/** Who we are and which keys hold; the first key proves, all of them verify. */
export type Identity = {
	name: string;
	keys: readonly [string, ...string[]];
};

function isKind<Kind extends MessageKind>(message: Message, kind: Kind): message is MessageOf<Kind> {
	return message.kind === kind;
}

async function receiveOne<Kind extends MessageKind>(inbox: Inbox, kind: Kind): Promise<MessageOf<Kind>> {
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

/** Accepts a link; returns the peer's proven name. Throws `LinkError`. */
export async function acceptHandshake(socket: WebSocket, inbox: Inbox, {name, keys}: Identity): Promise<string> {
	const nonce = createNonce();
	socket.send(encodeMessage({kind: 'challenge', protocol: protocolVersion, nonce}));
	const hello = await receiveOne(inbox, 'hello');
	checkProtocol(hello.protocol);
	const nonces = [nonce, hello.nonce] as const;
	const key = findProvingKey(keys, hello.proof, {side: 'hello', sender: hello.sender, nonces});
	checkProof(key !== undefined, hello.sender);
	socket.send(encodeMessage({
		kind: 'welcome', protocol: protocolVersion, sender: name, proof: createProof(key!, {side: 'welcome', sender: name, nonces}),
	}));
	return hello.sender;
}

/** Opens a link; returns the peer's proven name. Throws `LinkError`. */
export async function offerHandshake(socket: WebSocket, inbox: Inbox, {name, keys}: Identity): Promise<string> {
	const challenge = await receiveOne(inbox, 'challenge');
	checkProtocol(challenge.protocol);
	const nonces = [challenge.nonce, createNonce()] as const;
	socket.send(encodeMessage({
		kind: 'hello', protocol: protocolVersion, sender: name, nonce: nonces[1], proof: createProof(keys[0], {side: 'hello', sender: name, nonces}),
	}));
	const welcome = await receiveOne(inbox, 'welcome');
	checkProtocol(welcome.protocol);
	checkProof(findProvingKey(keys, welcome.proof, {side: 'welcome', sender: welcome.sender, nonces}) !== undefined, welcome.sender);
	return welcome.sender;
}
