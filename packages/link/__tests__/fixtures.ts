/**
 * Fixtures of the link tests: a server, a client, and a relay between them that can silently stop forwarding on its open connections.
 */
import {createServer as createHttpServer} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {Random} from '@wasabiusher/shared';
import {
	LinkClient, LinkServer, type Identity, type Link, type LinkError, type LinkLimits, type Message,
} from '../src/index.js';

async function listenAnywhere(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Waits, without timers, until the condition holds; bounded by the timeout of the test. */
export async function waitUntil(holds: () => boolean): Promise<void> {
	while (!holds()) {
		// Each iteration waits for the previous one.
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Creates a server that echoes each message. */
export async function createEcho(identity: Identity, limits?: Partial<LinkLimits>) {
	const http = createHttpServer();
	const echo = {
		address: '',
		received: [] as Message[],
		rejected: [] as LinkError[],
		unknown: [] as LinkError[],
		closed: [] as Array<LinkError | undefined>,
		links: [] as Link[],
		close() {
			server.close();
			http.close();
			http.closeAllConnections();
		},
	};
	const server = new LinkServer(http, {
		identity,
		limits,
		onLink(link) {
			echo.links.push(link);
			return {
				onMessage(message) {
					echo.received.push(message);
					link.send(message);
				},
				onUnknown(error) {
					echo.unknown.push(error);
				},
				onClose(error) {
					echo.closed.push(error);
				},
			};
		},
		onReject(error) {
			echo.rejected.push(error);
		},
	});
	echo.address = await listenAnywhere(http);
	return echo;
}

/** Creates a client that records its events and messages. */
export function createCaller(address: string, identity: Identity, limits?: Partial<LinkLimits>) {
	const caller = {
		ups: 0,
		downs: [] as Array<LinkError | undefined>,
		received: [] as Message[],
	};
	const client = new LinkClient({
		address,
		identity,
		limits,
		random: new Random(1),
		onUp() {
			caller.ups += 1;
		},
		onDown(error) {
			caller.downs.push(error);
		},
		onMessage(message) {
			caller.received.push(message);
		},
	});
	return Object.assign(caller, {client});
}

/** Creates a relay that forwards bytes. After `forgetAll` its open connections are silent without being closed; new ones work. */
export async function createRelay(target: string) {
	const [host, port] = target.split(':');
	const sockets = new Set<Socket>();
	const server = createServer(near => {
		const far = connect(Number(port), host);
		near.pipe(far).pipe(near);
		for (const socket of [near, far]) {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				sockets.delete(socket);
			});
		}
	});
	return {
		address: await listenAnywhere(server),
		forgetAll() {
			for (const socket of sockets) {
				socket.unpipe();
				socket.pause();
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
