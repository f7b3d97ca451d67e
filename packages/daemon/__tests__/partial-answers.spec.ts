import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {HttpServer, parseAddress, type HttpServerSettings} from '../src/index.js';

const part = 'data: 1\n\n';

type Received = {text: string; end: 'ended' | 'reset'};

type Cut = {
	settings?: HttpServerSettings;
	/** Breaks off the answer, of which a part has been sent. */
	cut(server: HttpServer, response: ServerResponse, client: Socket): void;
};

/** Ways in which an answer is broken off by its server, by the limits of the server or by what its client does. */
const cuts: Readonly<Record<string, Cut>> = {
	'its handler': {
		cut(_, response) {
			response.destroy();
		},
	},
	'its handler right after its last bytes': {
		cut(_, response) {
			response.write(part);
			response.destroy();
		},
	},
	'an error after its head': {
		cut(_, response) {
			response.emit('cut');
		},
	},
	'too many requests on its connection': {
		settings: {maxPipelined: 1},
		cut(_, _response, client) {
			client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		},
	},
	'bytes that are no request': {
		cut(_, _response, client) {
			client.write('no request\r\n\r\n');
		},
	},
	'a client that ends its side': {
		cut(_, _response, client) {
			client.end();
		},
	},
	'the end of the process': {
		cut(server) {
			server.closeAll();
		},
	},
};

// Guards against partial answers without a length that clients take for whole ones, because their connections end in order.
describe('A partial answer without a length', () => {
	let server: HttpServer;
	let response: ServerResponse;
	const sockets: Socket[] = [];

	async function start(settings: HttpServerSettings = {}): Promise<void> {
		server = new HttpServer(undefined, settings);
		server.on('get', '/', async exchange => {
			response = exchange.response;
			response.useChunkedEncodingByDefault = false;
			response.shouldKeepAlive = false;
			response.writeHead(200);
			response.write(part);
			await once(response, 'cut');
			throw new Error('cut');
		});
	}

	/** Requests the answer, breaks it off when its first bytes have come, and resolves to what came once its connection has closed. */
	async function receive(cut: Cut['cut']): Promise<Received> {
		const {host, port} = parseAddress(await server.listen('127.0.0.1:0'));
		const client = connect({port, host, allowHalfOpen: true});
		sockets.push(client);
		const received: Received = {text: '', end: 'reset'};
		client.on('data', chunk => {
			if (received.text === '') {
				// After the read in progress.
				setImmediate(() => {
					cut(server, response, client);
				});
			}

			received.text += String(chunk);
		});
		client.on('error', () => undefined);
		client.on('end', () => {
			received.end = 'ended';
			client.destroy();
		});
		const closed = new Promise<void>(resolve => {
			client.on('close', () => {
				resolve();
			});
		});
		client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		await closed;
		return received;
	}

	afterEach(async () => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		await server.kill();
	});

	for (const [name, {settings, cut}] of Object.entries(cuts)) {
		it(`ends with a reset when it is broken off by ${name}`, async () => {
			await start(settings);
			const {text, end} = await receive(cut);
			expect(text).to.match(/^HTTP\/1\.1 200 OK\r\n/v).and.include(part);
			expect(end).to.equal('reset');
		});
	}

	it('ends in order when it is whole', async () => {
		await start();
		const {text, end} = await receive((_, answer) => {
			answer.end(part);
		});
		expect([text.endsWith(part + part), end]).to.deep.equal([true, 'ended']);
	});

	// Guards against whole answers that are lost since they wait to be sent when the client ends its side, or sends bytes that are no request.
	for (const [name, endOrSpoil] of Object.entries({
		'ends its side'(client: Socket) {
			client.end();
		},
		'sends bytes that are no request'(client: Socket) {
			client.write('no request\r\n\r\n');
		},
	})) {
		it(`is sent to its end, when it is whole, to a client that ${name} and reads late`, async () => {
			await start();
			const {text, end} = await receive((_, answer, client) => {
				client.pause();
				answer.end(part.repeat(1_000_000));
				endOrSpoil(client);
				setTimeout(() => {
					client.resume();
				}, 100);
			});
			expect([text.length > part.length * 1_000_000, end]).to.deep.equal([true, 'ended']);
		});
	}
});
