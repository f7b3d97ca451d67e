/**
 * Relays a trainer's request to the entry that runs its step.
 *
 * The load balancer sends each connection of a trainer to any entry, so acknowledgements and reconnects can
 * arrive at an entry that does not run the step.
 */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import {Connections} from '@wasabiusher/backends';
import type {Exchange} from '@wasabiusher/daemon';

/** Marks a relayed request, which is not relayed a second time. */
const relayedHeader = 'wasabiusher-relayed';

/** Connection timeout, in milliseconds; a dead host does not respond at all. */
const connectTimeoutMs = 1000;

const connections = new Connections({connectTimeoutMs});

/** Timeout for the response headers, in milliseconds; the other entry sends them before samples are available. */
const headersTimeoutMs = 3000;

/** Timeout between two chunks of the body, in milliseconds; the other entry writes at least every `keepAliveMs`. */
const bodyTimeoutMs = 15_000;

/** Interval of keep-alive comments in a sample stream, in milliseconds. */
export const keepAliveMs = 5000;

export function isRelayed({request: incoming}: Exchange): boolean {
	return incoming.headers[relayedHeader] !== undefined;
}

/** Relays a request and its response. Returns false if the other entry did not respond; nothing has been written then. */
export async function relayExchange({request: incoming, response}: Exchange, address: string, body: unknown): Promise<boolean> {
	const disconnect = new AbortController();
	response.on('close', () => {
		disconnect.abort();
	});
	let answer: Dispatcher.ResponseData;
	try {
		answer = await connections.send(`http://${address}`, {
			path: incoming.url!,
			method: incoming.method === 'POST' ? 'POST' : 'GET',
			headers: {
				[relayedHeader]: '1',
				...(incoming.headers.authorization === undefined ? {} : {authorization: incoming.headers.authorization}),
				...(body === undefined ? {} : {'content-type': 'application/json'}),
			},
			body: body === undefined ? undefined : JSON.stringify(body),
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
			signal: disconnect.signal,
		});
	} catch {
		return disconnect.signal.aborted;
	}

	await relayResponse(answer, response);
	return true;
}

async function relayResponse({statusCode, headers, body}: Dispatcher.ResponseData, response: ServerResponse): Promise<void> {
	response.writeHead(statusCode, {'content-type': headers['content-type'] ?? 'application/json'});
	response.flushHeaders();
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			if (!response.write(chunk)) {
				await once(response, 'drain');
			}
		}

		response.end();
	} catch {
		// A stream that ends without the terminal event tells the trainer to pull again.
		response.destroy();
	}
}
