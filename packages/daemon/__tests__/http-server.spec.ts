import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {expect} from 'chai';
import {
	HttpServer, parseAddress, readJson, sendJson, type HttpLimits,
} from '../src/index.js';

describe('HttpServer', () => {
	let server: HttpServer;
	let address: string;
	const sockets: Socket[] = [];

	async function start(limits: Partial<HttpLimits> = {}): Promise<void> {
		server = new HttpServer(undefined, limits);
		server.on('post', '/echo', async ({request, response}) => {
			sendJson(response, 200, await readJson(request, 100));
		});
		server.on('get', '/parameters/:name', ({response, parameters, query}) => {
			sendJson(response, 200, {...parameters, query: query.get('q')});
		});
		server.on('all', '/:service/*', ({response}) => {
			sendJson(response, 200, {});
		});
		address = await server.listen('127.0.0.1:0');
	}

	async function open(): Promise<Socket> {
		const {host, port} = parseAddress(address);
		const socket = connect(port, host);
		sockets.push(socket);
		await once(socket, 'connect');
		return socket;
	}

	/** Sends raw text; resolves to all data received until the connection closed. */
	async function exchange(text: string, socket?: Socket): Promise<string> {
		const used = socket ?? await open();
		let received = '';
		used.on('data', chunk => {
			received += String(chunk);
		});
		used.on('error', () => undefined);
		const closed = once(used, 'close');
		used.write(text);
		await closed;
		return received;
	}

	async function get(path: string): Promise<Response> {
		return fetch(`http://${address}${path}`);
	}

	afterEach(async () => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		await server.kill();
	});

	it('responds with an error to a body that is not JSON', async () => {
		await start();
		const response = await fetch(`http://${address}/echo`, {method: 'POST', body: '{'});
		expect(response.status).to.equal(400);
		expect(await response.text()).to.contain('not JSON');
	});

	it('responds to a body whose announced length is too large, without waiting for it', async () => {
		await start();
		const received = await exchange('POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n');
		expect(received).to.contain('exceeds 100 bytes');
	});

	it('responds with an error to a chunked body that is too large', async () => {
		await start();
		const chunk = `c8\r\n${'x'.repeat(200)}\r\n`;
		const received = await exchange(`POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`);
		expect(received).to.contain('exceeds 100 bytes');
	});

	it('decodes parameters and the query', async () => {
		await start();
		const response = await get('/parameters/a%2Fb?q=c%20d');
		expect(await response.json()).to.deep.equal({name: 'a/b', query: 'c d'});
	});

	it('continues to serve after malformed paths', async () => {
		await start();
		const malformed = await get('/parameters/%E0%A4%A');
		expect(malformed.status).to.equal(400);
		await exchange('GET //x/y HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
		await exchange('GET //[ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
		const response = await get('/parameters/a');
		expect(response.status).to.equal(200);
	});

	it('closes a connection that sends its headers too slowly', async () => {
		await start({headersTimeoutMs: 10, checkMs: 2});
		const received = await exchange('GET /slow HTTP/1.1\r\nhost');
		expect(received).to.match(/^HTTP\/1\.1 408 /v);
	});

	it('closes a connection that sends its body too slowly', async () => {
		await start({headersTimeoutMs: 10, requestTimeoutMs: 20, checkMs: 2});
		await exchange('POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n{');
	});

	it('accepts no more connections than its limit', async () => {
		await start({maxConnections: 1});
		await open();
		const refused = await open();
		await once(refused, 'close');
	});

	describe('closing', () => {
		let endExchange: () => void;

		async function startWithOpenExchange(): Promise<void> {
			await start();
			server.on('get', '/wait', async ({response}) => {
				response.write('begun\n');
				await new Promise<void>(resolve => {
					endExchange = resolve;
				});
				response.end('whole\n');
			});
		}

		async function begin(socket: Socket): Promise<void> {
			socket.write('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n');
			await once(socket, 'data');
		}

		it('closes idle keep-alive connections at once', async () => {
			await start();
			const socket = await open();
			socket.write('GET /parameters/a HTTP/1.1\r\nhost: a\r\n\r\n');
			await once(socket, 'data');
			await Promise.all([once(socket, 'close'), server.close()]);
		});

		it('finishes an open exchange and then closes its connection', async () => {
			await startWithOpenExchange();
			const socket = await open();
			await begin(socket);
			let rest = '';
			socket.on('data', chunk => {
				rest += String(chunk);
			});
			const ended = once(socket, 'close');
			const closed = server.close();
			endExchange();
			await Promise.all([ended, closed]);
			expect(rest).to.contain('whole');
		});

		it('does not wait for a connection that never sends a request', async () => {
			await start({closeGraceMs: 5});
			const silent = await open();
			await Promise.all([once(silent, 'close'), server.close()]);
		});

		it('waits for a stalled body no longer than the request timeout', async () => {
			await start({headersTimeoutMs: 20, requestTimeoutMs: 20, checkMs: 10_000});
			const slow = await open();
			slow.on('error', () => undefined);
			slow.write('POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n{');
			await new Promise<void>(resolve => {
				server.server.once('request', () => {
					resolve();
				});
			});
			await Promise.all([once(slow, 'close'), server.close()]);
		});
	});
});
