import {once} from 'node:events';
import {connect, type AddressInfo} from 'node:net';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {WebSocket, WebSocketServer} from 'ws';
import {
	createNonce, createProof, decodeMessage, encodeMessage, linkPath, protocolVersion, type Identity, type Message,
} from '../src/index.js';
import {
	createCaller, createEcho, createRelay, waitUntil,
} from './fixtures.js';

const entry: Identity = {name: 'entry-1', keys: ['k1']};
const agent: Identity = {name: 'agent-1', keys: ['k1']};
const digest: Message = {kind: 'digest', configurationVersion: 7};

/** Opens a raw peer that sends the frames that `respond` returns for the challenge. */
async function speakRaw(address: string, respond: (challenge: Extract<Message, {kind: 'challenge'}>) => Uint8Array[]): Promise<WebSocket> {
	const socket = new WebSocket(`ws://${address}${linkPath}`);
	await new Promise<void>(resolve => {
		socket.once('message', data => {
			for (const frame of respond(decodeMessage(data as Uint8Array) as Extract<Message, {kind: 'challenge'}>)) {
				socket.send(frame);
			}

			resolve();
		});
	});
	return socket;
}

function createHello(nonce: string, key = 'k1', protocol = protocolVersion): Uint8Array {
	const own = createNonce();
	const proof = createProof(key, {side: 'hello', sender: 'raw', nonces: [nonce, own]});
	return encodeMessage({
		kind: 'hello', protocol, sender: 'raw', nonce: own, proof,
	});
}

describe('link', () => {
	const closers: Array<() => void> = [];

	async function openEcho(...given: Parameters<typeof createEcho>) {
		const echo = await createEcho(...given);
		closers.push(() => {
			echo.close();
		});
		return echo;
	}

	function openCaller(...given: Parameters<typeof createCaller>) {
		const caller = createCaller(...given);
		closers.push(() => {
			caller.client.close();
		});
		return caller;
	}

	async function openRaw(...given: Parameters<typeof speakRaw>) {
		const socket = await speakRaw(...given);
		closers.push(() => {
			socket.terminate();
		});
		return socket;
	}

	afterEach(() => {
		for (const close of closers.splice(0)) {
			close();
		}
	});

	it('delivers messages in order in both directions, many in a frame', async () => {
		const echo = await openEcho(agent);
		const caller = openCaller(echo.address, entry);
		await waitUntil(() => caller.ups === 1);
		const sent = Array.from({length: 500}, (_, index): Message => ({kind: 'digest', configurationVersion: index}));
		for (const message of sent) {
			caller.client.send(message);
		}

		await waitUntil(() => caller.received.length === sent.length);
		expect(caller.received).to.deep.equal(sent);
	});

	it('accepts an older key while two are valid', async () => {
		const echo = await openEcho({...agent, keys: ['new', 'k1']});
		const caller = openCaller(echo.address, entry);
		await waitUntil(() => caller.ups === 1);
		expect(echo.rejected).to.deep.equal([]);
	});

	it('uses replaced keys from the next handshake, without a restart', async () => {
		let keys: [string, ...string[]] = ['k1'];
		const echo = await openEcho({name: 'agent-1', keys: () => keys});
		const first = openCaller(echo.address, entry);
		await waitUntil(() => first.ups === 1);
		keys = ['k2'];
		const second = openCaller(echo.address, {name: 'entry-2', keys: ['k2']});
		await waitUntil(() => second.ups === 1);
		const late = openCaller(echo.address, {name: 'entry-3', keys: ['k1']});
		await waitUntil(() => late.downs.length > 0);
		expect(echo.rejected.map(({code}) => code)).to.deep.equal(['unauthorized']);
		expect(first.client.isUp, 'an open link stays open').to.equal(true);
	});

	it('rejects a peer with a wrong key', async () => {
		const echo = await openEcho(agent);
		const caller = openCaller(echo.address, {name: 'entry-1', keys: ['wrong']});
		await waitUntil(() => caller.downs.length === 1);
		expect(echo.rejected.map(({code}) => code)).to.deep.equal(['unauthorized']);
		expect(echo.links).to.deep.equal([]);
	});

	it('does not trust a server without the key', async () => {
		const impostor = new WebSocketServer({host: '127.0.0.1', port: 0, path: linkPath});
		closers.push(() => {
			impostor.close();
		});
		impostor.on('connection', socket => {
			socket.send(encodeMessage({kind: 'challenge', protocol: protocolVersion, nonce: createNonce()}));
			socket.on('message', () => {
				socket.send(encodeMessage({
					kind: 'welcome', protocol: protocolVersion, sender: 'agent-1', proof: createNonce(),
				}));
			});
		});
		await once(impostor, 'listening');
		const caller = openCaller(`127.0.0.1:${(impostor.address() as AddressInfo).port}`, entry);
		await waitUntil(() => caller.downs.length === 1);
		expect(caller.downs[0]?.code).to.equal('unauthorized');
		expect(caller.ups).to.equal(0);
	});

	it('rejects a replayed hello', async () => {
		const echo = await openEcho(agent);
		let hello: Uint8Array | undefined;
		await openRaw(echo.address, ({nonce}) => {
			hello = createHello(nonce);
			return [hello];
		});
		await waitUntil(() => echo.links.length === 1);
		await openRaw(echo.address, () => [hello!]);
		await waitUntil(() => echo.rejected.length === 1);
		expect(echo.rejected[0]!.code).to.equal('unauthorized');
		expect(echo.links).to.have.lengthOf(1);
	});

	it('rejects another version of the protocol', async () => {
		const echo = await openEcho(agent);
		await openRaw(echo.address, ({nonce}) => [createHello(nonce, 'k1', protocolVersion + 1)]);
		await waitUntil(() => echo.rejected.length === 1);
		expect(echo.rejected[0]!.code).to.equal('protocol');
	});

	it('rejects any message before the hello', async () => {
		const echo = await openEcho(agent);
		await openRaw(echo.address, () => [encodeMessage(digest)]);
		await waitUntil(() => echo.rejected.length === 1);
		expect(echo.received).to.deep.equal([]);
	});

	it('disconnects an unauthenticated peer that sends more than a hello', async () => {
		const echo = await openEcho(agent);
		await openRaw(echo.address, () => [new Uint8Array(1024 * 1024)]);
		await waitUntil(() => echo.rejected.length === 1);
		expect(echo.rejected[0]!.code).to.equal('closed');
	});

	it('drops and reports a message of an unknown kind, and continues', async () => {
		const echo = await openEcho(agent);
		await openRaw(echo.address, ({nonce}) => [createHello(nonce), new Packr({useRecords: false}).pack({kind: 'added-later'}), encodeMessage(digest)]);
		await waitUntil(() => echo.received.length === 1);
		expect(echo.unknown.map(({code}) => code)).to.deep.equal(['unknown-kind']);
		expect(echo.received).to.deep.equal([digest]);
	});

	it('closes a link on a malformed message, with the field in the error', async () => {
		const echo = await openEcho(agent);
		await openRaw(echo.address, ({nonce}) => [createHello(nonce), new Packr({useRecords: false}).pack({kind: 'digest', configurationVersion: 'x'}), encodeMessage(digest)]);
		await waitUntil(() => echo.closed.length === 1);
		expect(echo.closed[0]!.code).to.equal('malformed');
		expect(echo.closed[0]!.message).to.contain('configurationVersion');
		expect(echo.received).to.deep.equal([]);
	});

	it('closes a link whose peer does not read, before the unsent data exceeds its limit', async () => {
		const maxBufferedBytes = 4 * 1024 * 1024;
		const echo = await openEcho(agent, {maxBufferedBytes});
		const raw = await openRaw(echo.address, ({nonce}) => [createHello(nonce)]);
		raw.pause();
		await waitUntil(() => echo.links.length === 1);
		const link = echo.links[0]!;
		const chunk: Message = {
			kind: 'part', request: 'r', attempt: 1, sequence: 0, event: {kind: 'body', chunk: new Uint8Array(256 * 1024)},
		};
		let maxUnsentBytes = 0;
		await waitUntil(() => {
			maxUnsentBytes = Math.max(maxUnsentBytes, link.bufferedBytes);
			link.send(chunk);
			return link.isClosed;
		});
		expect(echo.closed[0]!.code).to.equal('slow-reader');
		expect(maxUnsentBytes).to.be.at.most(maxBufferedBytes);
	});

	it('treats an invalid address as a link that is down', async () => {
		const caller = openCaller('no address at all', entry);
		await waitUntil(() => caller.downs.length === 1);
		expect(caller.downs[0]?.code).to.equal('protocol');
		expect(caller.client.isUp).to.equal(false);
	});

	it('does not open a link that was closed during its handshake', async () => {
		const echo = await openEcho(agent);
		const caller = openCaller(echo.address, entry);
		caller.client.close();
		await waitUntil(() => caller.downs.length > 0);
		expect(caller.ups).to.equal(0);
		expect(caller.client.isUp).to.equal(false);
	});

	it('delivers all sent messages before it ends', async () => {
		const echo = await openEcho(agent);
		const caller = openCaller(echo.address, entry);
		await waitUntil(() => echo.links.length === 1 && caller.ups === 1);
		const link = echo.links[0]!;
		const sent = Array.from({length: 2000}, (_, index): Message => ({kind: 'digest', configurationVersion: index}));
		for (const message of sent) {
			link.send(message);
		}

		await link.end();
		await waitUntil(() => caller.downs.length > 0);
		expect(caller.received).to.deep.equal(sent);
		expect(caller.downs, 'a graceful end is not a failure').to.deep.equal([undefined]);
	});

	describe('with a fake clock', () => {
		let clock: Clock;

		beforeEach(() => {
			// I/O is real, so `setImmediate` and `nextTick` must be real too.
			clock = install({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance']});
		});

		afterEach(() => {
			clock.uninstall();
		});

		/** Advances the clock by a heartbeat and waits for a message to be echoed. */
		async function passHeartbeat(caller: ReturnType<typeof createCaller>): Promise<void> {
			clock.tick(1000);
			const count = caller.received.length;
			caller.client.send(digest);
			await waitUntil(() => caller.received.length > count);
		}

		it('detects a silent link on both sides and replaces it', async () => {
			const echo = await openEcho(agent);
			const relay = await createRelay(echo.address);
			closers.push(() => {
				relay.close();
			});
			const caller = openCaller(relay.address, entry);
			await waitUntil(() => caller.ups === 1 && echo.links.length === 1);
			for (let beats = 0; beats < 6; beats += 1) {
				// Each heartbeat waits for the previous one.
				// eslint-disable-next-line no-await-in-loop
				await passHeartbeat(caller);
			}

			expect(caller.downs, 'a link that receives heartbeats stays open').to.deep.equal([]);
			relay.forgetAll();
			clock.tick(3000);
			expect(caller.downs, 'three missed heartbeats are within the limit').to.deep.equal([]);
			clock.tick(1000);
			expect(caller.downs.map(error => error?.code)).to.deep.equal(['silent']);
			expect(echo.closed.map(error => error?.code)).to.deep.equal(['silent']);
			clock.tick(200);
			await waitUntil(() => caller.ups === 2);
			await passHeartbeat(caller);
		});

		it('closes a connection that never sends a hello', async () => {
			const echo = await openEcho(agent);
			const socket = new WebSocket(`ws://${echo.address}${linkPath}`);
			await new Promise(resolve => {
				socket.once('message', resolve);
			});
			clock.tick(5000);
			await waitUntil(() => echo.rejected.length === 1);
			expect(echo.rejected[0]!.code).to.equal('silent');
		});

		it('waits longer before each reconnect, and does not reconnect once closed', async () => {
			const echo = await openEcho({name: 'agent-1', keys: ['other']});
			const caller = openCaller(echo.address, entry);
			const waits: number[] = [];
			const isWaiting = () => caller.downs.length === waits.length + 1 && clock.countTimers() === 1;
			while (waits.length < 8) {
				// Each attempt waits for the previous one.
				// eslint-disable-next-line no-await-in-loop
				await waitUntil(isWaiting);
				const before = clock.now;
				clock.next();
				waits.push(clock.now - before);
			}

			for (const [index, waitMs] of waits.entries()) {
				const meanMs = Math.min(2000, 100 * (2 ** index));
				expect(waitMs).to.be.within((meanMs * 0.5) - 1, (meanMs * 1.5) + 1);
			}

			caller.client.close();
			await waitUntil(() => clock.countTimers() === 0);
			expect(clock.countTimers(), 'timers left').to.equal(0);
		});
	});

	it('opens no link for a peer that does not speak HTTP', async () => {
		const echo = await openEcho(agent);
		const [host, port] = echo.address.split(':');
		const socket = connect(Number(port), host);
		socket.end('not http\r\n\r\n');
		await new Promise(resolve => {
			socket.resume().once('close', resolve);
		});
		expect(echo.links).to.deep.equal([]);
	});
});
