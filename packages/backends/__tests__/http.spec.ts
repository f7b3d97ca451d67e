import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import {createServer as createHttpServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';
import {expect} from 'chai';
import {z} from 'zod';
import {
	HttpEngine, HttpPlainService, HttpTableService, listEndToEndHeaders, PlatformError, type GenerationEvent, type PlainEvent,
} from '../src/index.js';
import {callBytes, callEmpty, callJson} from '../src/http.js';

async function catchCode(work: Promise<unknown>): Promise<string> {
	try {
		await work;
	} catch (error) {
		return error instanceof PlatformError ? error.code : `not a PlatformError: ${String(error)}`;
	}

	return 'none';
}

type Answer = (socket: Socket, connection: number) => void;

const reply = (status: string, body: string): Answer => socket => {
	socket.write(`HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
};

function formatOrigin(server: Server): string {
	const bound = server.address();
	return `http://127.0.0.1:${typeof bound === 'object' ? bound!.port : 0}`;
}

describe('calls over HTTP', () => {
	const servers: Server[] = [];
	const sockets = new Set<Socket>();
	let connected = 0;
	/** Numbers of the connections on which requests were received; connections are numbered in the order of their opening. */
	let requestedOn: number[] = [];

	/** Starts a server that calls `answer` for each received chunk. */
	async function serve(answer: Answer): Promise<string> {
		connected = 0;
		requestedOn = [];
		const server = createServer(socket => {
			connected += 1;
			const connection = connected;
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('data', () => {
				requestedOn.push(connection);
				answer(socket, connection);
			});
		});
		servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return formatOrigin(server);
	}

	/** Starts a server that ends its answers some time after their text, by default 1 ms. */
	async function serveStream(text: string, finish = (end: () => void) => {
		setTimeout(end, 1);
	}): Promise<{server: Server; countOpened(): number}> {
		let opened = 0;
		const server = createHttpServer((request, response) => {
			request.resume();
			response.write(text);
			finish(() => {
				response.end();
			});
		});
		server.on('connection', (socket: Socket) => {
			opened += 1;
			sockets.add(socket);
		});
		servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return {server, countOpened: () => opened};
	}

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		sockets.clear();
		for (const server of servers.splice(0)) {
			server.close();
		}
	});

	const post = async (origin: string, timeoutMs?: number) => callEmpty({
		origin, method: 'POST', path: '/x', body: {}, timeoutMs,
	});

	it('maps the status to an error code', async () => {
		const expected = {
			'400 Bad': 'refused',
			'404 Missing': 'missing',
			'409 Conflict': 'conflict',
			'412 Fenced': 'fenced',
			'429 Many': 'limited',
			'500 Failed': 'unknown',
			'502 Gateway': 'unknown',
			'503 Down': 'unavailable',
			'504 Late': 'unknown',
		};
		for (const [status, code] of Object.entries(expected)) {
			// Each server waits for the previous one.
			// eslint-disable-next-line no-await-in-loop
			expect(await catchCode(post(await serve(reply(status, 'x')))), status).to.equal(code);
		}
	});

	it('counts a plain service as up if its health check is redirected', async () => {
		expect(await new HttpPlainService(await serve(reply('302 Found', ''))).check()).to.equal(true);
	});

	it('throws unavailable if no connection can be established', async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const origin = formatOrigin(server);
		server.close();
		await once(server, 'close');
		expect(await catchCode(post(origin))).to.equal('unavailable');
	});

	it('throws unavailable if the call was aborted before it was sent', async () => {
		const origin = await serve(reply('200 OK', '{}'));
		const events = new HttpEngine(origin).generate({model: 'm', maxTokens: 1}, {requestId: 'r', priority: 0, signal: AbortSignal.abort()});
		expect(await catchCode(events[Symbol.asyncIterator]().next())).to.equal('unavailable');
		expect(connected).to.equal(0);
	});

	it('throws unknown if the connection is closed after the request', async () => {
		const origin = await serve(socket => {
			socket.destroy();
		});
		expect(await catchCode(post(origin))).to.equal('unknown');
	});

	it('throws unknown if there is no answer, and uses a new connection for the next call', async () => {
		const origin = await serve((socket, connection) => {
			if (connection > 1) {
				reply('200 OK', '{}')(socket, connection);
			}
		});
		expect(await catchCode(post(origin, 20))).to.equal('unknown');
		expect(await catchCode(post(origin))).to.equal('none');
		expect(requestedOn.at(-1)).to.be.greaterThan(1);
	});

	it('does not reuse any open connection of an origin after one has gone silent', async () => {
		let isSilent = false;
		const origin = await serve((socket, connection) => {
			if (!isSilent || connection > 2) {
				reply('200 OK', '{}')(socket, connection);
			}
		});
		await Promise.all([post(origin), post(origin)]);
		expect(connected).to.equal(2);
		isSilent = true;
		expect(await catchCode(post(origin, 20))).to.equal('unknown');
		expect(await catchCode(post(origin, 2000))).to.equal('none');
		expect(requestedOn.at(-1)).to.be.greaterThan(2);
	});

	it('limits the time of the complete answer, even if data keeps arriving slowly', async () => {
		const origin = await serve(socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n');
			const timer = setInterval(() => {
				socket.write('x');
			}, 2);
			socket.on('close', () => {
				clearInterval(timer);
			});
		});
		expect(await catchCode(callBytes({
			origin, method: 'GET', path: '/', timeoutMs: 30,
		}))).to.equal('unknown');
	});

	it('rejects an answer that does not match the schema, as invalid for a read and unknown for a write', async () => {
		const schema = z.object({versions: z.array(z.int())});
		const read = {origin: await serve(reply('200 OK', '{"versions":"x"}')), method: 'GET', path: '/'} as const;
		expect(await catchCode(callJson(schema, read))).to.equal('invalid');
		expect(await catchCode(callJson(schema, {...read, origin: await serve(reply('200 OK', 'x'))}))).to.equal('invalid');
		const tables = new HttpTableService(await serve(reply('200 OK', '{"versions":"x"}')));
		expect(await catchCode(tables.transact([]))).to.equal('unknown');
	});

	it('throws missing for an order if the path does not exist', async () => {
		const engine = new HttpEngine(await serve(reply('404 Missing', '')));
		expect(await catchCode(engine.order({kind: 'role', role: 'any'}, 1))).to.equal('missing');
	});

	it('reuses the connection of a complete stream', async () => {
		const chunk = JSON.stringify({choices: [{text: 'a', finish_reason: 'stop'}], version: 1, tokens: 1});
		// A comment makes the stream longer than undici's limit for discarded bodies, which a short stream would not reach.
		const {server, countOpened} = await serveStream(`: ${'x'.repeat(200_000)}\n\ndata: ${chunk}\n\ndata: [DONE]\n\n`);
		const engine = new HttpEngine(formatOrigin(server));
		const run = async () => {
			const events = engine.generate({model: 'm', maxTokens: 1}, {requestId: 'r', priority: 0, signal: new AbortController().signal})[Symbol.asyncIterator]();
			const part = await events.next();
			// Like the agents, this reader does not request another event after the terminal one.
			const finished = await events.next();
			return [part, finished].map(({value}) => (value as GenerationEvent).kind);
		};

		// The server ends the answer some time after the terminal event; undici reports when it has read the end.
		const isRead = new Promise<void>(resolve => {
			const onEnd = () => {
				unsubscribe('undici:request:trailers', onEnd);
				resolve();
			};

			subscribe('undici:request:trailers', onEnd);
		});
		expect(await run()).to.deep.equal(['part', 'finished']);
		await isRead;
		// The connection is free after the iteration of the event loop in which the end was read.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		expect(await run()).to.deep.equal(['part', 'finished']);
		expect(countOpened()).to.equal(1);
	});

	it('does not abort a long stream that ends after its terminal event was read', async () => {
		const chunk = JSON.stringify({choices: [{text: 'a', finish_reason: 'stop'}], version: 1, tokens: 1});
		let isCut = false;
		let end: (() => void) | undefined;
		const {server} = await serveStream(`: ${'x'.repeat(200_000)}\n\ndata: ${chunk}\n\ndata: [DONE]\n\n`, finish => {
			end = finish;
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			response.once('close', () => {
				isCut = !response.writableFinished;
			});
		});
		const isRead = new Promise<void>(resolve => {
			const onEnd = () => {
				unsubscribe('undici:request:trailers', onEnd);
				resolve();
			};

			subscribe('undici:request:trailers', onEnd);
		});
		for await (const event of new HttpEngine(formatOrigin(server)).generate({model: 'm', maxTokens: 1}, {requestId: 'r', priority: 0, signal: new AbortController().signal})) {
			if (event.kind === 'finished') {
				break;
			}
		}

		// Waits for an iteration of the event loop, in which the stream would have been aborted.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
		end!();
		await isRead;
		expect(isCut).to.equal(false);
	});

	describe('forwarding', () => {
		async function forward(origin: string, path: string, method = 'GET'): Promise<PlainEvent[]> {
			const events: PlainEvent[] = [];
			for await (const event of new HttpPlainService(origin).forward({method, path, headers: {}}, new AbortController().signal)) {
				events.push(event);
			}

			return events;
		}

		it('keeps the status, including error statuses', async () => {
			const events = await forward(await serve(reply('503 Down', 'x')), '/postings');
			expect(events[0]).to.deep.include({kind: 'head', status: 503});
			expect(events.at(-1)).to.deep.equal({kind: 'finished'});
		});

		it('never reports a truncated answer as finished', async () => {
			const origin = await serve(socket => {
				socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc');
			});
			expect(await catchCode(forward(origin, '/'))).to.equal('unknown');
		});

		it('sends to its own origin whatever the path', async () => {
			const origin = await serve(reply('200 OK', 'here'));
			const events = await forward(origin, '//192.0.2.1/x');
			expect(events[0]).to.deep.include({status: 200});
			expect(await catchCode(forward(origin, 'http://192.0.2.1/x'))).to.equal('refused');
		});

		it('throws refused for an invalid request, which is not sent', async () => {
			expect(await catchCode(forward(await serve(reply('200 OK', '')), '/', 'BAD METHOD'))).to.equal('refused');
			expect(connected).to.equal(0);
		});
	});

	it('drops connection-specific headers, including those that the sender declares', () => {
		const headers = {
			Connection: 'close, X-Hop', 'x-hop': '1', 'content-length': '3', accept: ['a', 'b'],
		};
		expect(listEndToEndHeaders({...headers, connection: headers.Connection})).to.deep.equal({accept: 'a, b'});
	});
});
