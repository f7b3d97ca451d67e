/**
 * Listening on `ip:port` addresses.
 */
import type {Server} from 'node:http';

/** Splits `ip:port`; IPv6 addresses are written in brackets. */
export function parseAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon).replaceAll(/[\[\]]/gv, '');
	return {host, port: Number(address.slice(colon + 1))};
}

/** Returns whether an address can only be reached from this host. */
export function isLoopback(address: string): boolean {
	const {host} = parseAddress(address);
	return host === '::1' || host === 'localhost' || host.startsWith('127.');
}

/** Listens on `ip:port`, where port 0 selects any free port. Resolves to the bound address. */
export async function listen(server: Server, address: string): Promise<string> {
	const {host, port} = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		throw new TypeError(`expected an ip:port address, got ${address}`);
	}

	return `${host.includes(':') ? `[${host}]` : host}:${bound.port}`;
}
