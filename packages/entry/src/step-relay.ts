/**
 * Passing a trainer's exchange on to the entry that runs its step.
 *
 * The balancer sends each connection of a trainer to any entry, so acknowledgements and reconnects arrive
 * where the step is not run.
 */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {Agent, request, type Dispatcher} from 'undici';
import type {Exchange} from '@wasabiusher/daemon';

/** Marks an exchange that was passed on once; it is not passed on again. */
const relayedHeader = 'wasabiusher-relayed';

/** Longest wait for a connection, in milliseconds; a host that is gone answers nothing. */
const connectTimeoutMs = 1000;

const connections = new Agent({connect: {timeout: connectTimeoutMs}});

/** Longest wait for the other entry's first answer, in milliseconds; it answers a pull before there are samples. */
const headersTimeoutMs = 3000;

/** Longest silence of its stream, in milliseconds; it writes a line each `keepAliveMs`. */
const bodyTimeoutMs = 15_000;

/** How often a stream without samples shows that it is alive, in milliseconds. */
export const keepAliveMs = 5000;

export function isRelayed({request: incoming}: Exchange): boolean {
	return incoming.headers[relayedHeader] !== undefined;
}

/** Passes an exchange on and its answer back; false if the other entry did not answer, and nothing was written. */
export async function relayExchange({request: incoming, response}: Exchange, address: string, body: unknown): Promise<boolean> {
	const gone = new AbortController();
	response.on('close', () => {
		gone.abort();
	});
	let answer: Dispatcher.ResponseData;
	try {
		answer = await request(new URL(incoming.url!, `http://${address}`), {
			method: incoming.method === 'POST' ? 'POST' : 'GET',
			headers: {
				[relayedHeader]: '1',
				...(incoming.headers.authorization === undefined ? {} : {authorization: incoming.headers.authorization}),
				...(body === undefined ? {} : {'content-type': 'application/json'}),
			},
			body: body === undefined ? undefined : JSON.stringify(body),
			dispatcher: connections,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
			signal: gone.signal,
		});
	} catch {
		return gone.signal.aborted;
	}

	await passBack(answer, response);
	return true;
}

async function passBack({statusCode, headers, body}: Dispatcher.ResponseData, response: ServerResponse): Promise<void> {
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
		// An end without the terminal event tells the trainer to pull again.
		response.destroy();
	}
}
