/**
 * Fixtures of the link's tests: a server, a client and a relay between them that can lose track of a connection.
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

/** Waits for I/O, without timers, until the condition holds; the test's own limit bounds it. */
export async function waitUntil(holds: () => boolean): Promise<void> {
	while (!holds()) {
		// Each turn waits for the one before.
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}

/** An accepting end that echoes each message. */
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

/** An opening end that notes what it hears. */
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

/** Passes bytes on until it forgets a connection: that one goes silent without being closed, new ones work. */
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
