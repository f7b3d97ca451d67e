import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as waitForOthers} from 'node:timers/promises';
import {expect} from 'chai';
import {
	HttpServer, MemoryBudget, parseAddress, readBytes, readJson, sendJson, type HttpServerSettings,
} from '../src/index.js';

describe('HttpServer', () => {
	let server: HttpServer;
	let address: string;
	const sockets: Socket[] = [];

	async function start(settings: HttpServerSettings = {}): Promise<void> {
		server = new HttpServer(undefined, settings);
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

	/** Resolves when a socket has closed, also after an error. */
	async function waitForClose(socket: Socket): Promise<void> {
		socket.on('error', () => undefined);
		await new Promise<void>(resolve => {
			socket.once('close', () => {
				resolve();
			});
		});
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

	it('closes the connection that has waited longest without a request for a new one beyond its limit', async () => {
		await start({maxConnections: 2});
		const [oldest] = [await open(), await open()];
		const closed = once(oldest, 'close');
		const newest = await open();
		await closed;
		expect(await exchange('GET /parameters/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', newest)).to.match(/^HTTP\/1\.1 200 /v);
		expect(server.countConnections('silent')).to.equal(1);
	});

	it('closes a new connection beyond its limit if all others have a request at work', async () => {
		await start({maxConnections: 1});
		server.on('get', '/wait', () => undefined);
		const working = await open();
		const begun = once(server.server, 'request');
		working.write('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n');
		await begun;
		await once(await open(), 'close');
		expect([working.destroyed, server.countConnections('working')]).to.deep.equal([false, 1]);
	});

	it('never closes a connection that was upgraded to another protocol', async () => {
		await start({maxConnections: 1});
		const upgrades = once(server.server, 'upgrade');
		const upgraded = await open();
		upgraded.write('GET /link HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n');
		await upgrades;
		await once(await open(), 'close');
		expect([upgraded.destroyed, server.countConnections('working')]).to.deep.equal([false, 1]);
	});

	it('closes a connection with too many requests that are not answered, and parses no more of them', async () => {
		await start({maxPipelined: 2});
		const handled: string[] = [];
		server.on('get', '/wait', ({request}) => {
			handled.push(request.url!);
		});
		let parsed = 0;
		server.server.on('request', () => {
			parsed += 1;
		});
		await exchange('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(1000));
		expect([handled.length, parsed]).to.deep.equal([2, 3]);
	});

	it('sends a refusal to a client that still sends, then closes its connection', async () => {
		await start();
		const socket = await open();
		let received = '';
		socket.on('data', chunk => {
			received += String(chunk);
		});
		socket.on('error', () => undefined);
		const closed = waitForClose(socket);
		socket.write('POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 100000000\r\n\r\n');
		const sending = setInterval(() => {
			socket.write('x'.repeat(10_000));
		}, 1);
		await closed;
		clearInterval(sending);
		expect(received).to.match(/^HTTP\/1\.1 400 /v).and.to.contain('exceeds 100 bytes').and.to.contain('onnection: close');
	});

	it('uses a connection again after a refusal if little of the request is left', async () => {
		await start();
		const refused = 'POST /none HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello';
		const received = await exchange(`${refused}GET /parameters/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`);
		expect(received.match(/HTTP\/1\.1 \d{3}/gv)).to.deep.equal(['HTTP/1.1 404', 'HTTP/1.1 200']);
	});

	it('asks for a body with 100 Continue only if it reads it', async () => {
		await start();
		const read = await exchange('POST /echo HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}');
		expect(read.match(/HTTP\/1\.1 \d{3}/gv)).to.deep.equal(['HTTP/1.1 100', 'HTTP/1.1 200']);
		const refused = await exchange('POST /none HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}');
		expect(refused.match(/HTTP\/1\.1 \d{3}/gv)).to.deep.equal(['HTTP/1.1 404']);
	});

	it('releases the memory of a body however its request ends', async () => {
		const budget = new MemoryBudget({totalBytes: 1_000_000, reservedBytes: 0, smallBytes: 100_000});
		await start({budget});
		server.on('post', '/wait', async ({request}) => {
			await readJson(request, 200_000);
		});
		const post = (path: string, length: number) => `POST ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: ${length}\r\n\r\n`;
		await exchange(`${post('/echo', 2)}{}`);
		await exchange(`${post('/echo', 2)}{x`);
		const [cut, waiting] = [await open(), await open()];
		cut.write(`${post('/wait', 100_000)}${'x'.repeat(50_000)}`);
		waiting.write(`${post('/wait', 100_000)}"${'x'.repeat(99_998)}"`);
		while (budget.heldBytes < 150_000) {
			// eslint-disable-next-line no-await-in-loop
			await waitForOthers();
		}

		cut.destroy();
		waiting.destroy();
		while (budget.size > 0) {
			// eslint-disable-next-line no-await-in-loop
			await waitForOthers();
		}

		expect(budget.heldBytes).to.equal(0);
	});

	it('answers 503 for bodies that give way, and reads a later one', async () => {
		const refused: string[] = [];
		const budget = new MemoryBudget({totalBytes: 300_000, reservedBytes: 0, smallBytes: 1000});
		await start({
			budget, onRefuse({reason}) {
				refused.push(reason);
			},
		});
		server.on('post', '/large', async ({request, response}) => {
			const {length} = await readBytes(request, 300_000);
			sendJson(response, 200, {length});
		});
		const stalled = await open();
		stalled.write(`POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: 200001\r\n\r\n${'x'.repeat(200_000)}`);
		while (budget.heldBytes < 200_000) {
			// eslint-disable-next-line no-await-in-loop
			await waitForOthers();
		}

		const closed = waitForClose(stalled);
		const answer = once(stalled, 'data');
		const response = await fetch(`http://${address}/large`, {method: 'POST', body: Buffer.alloc(100_000)});
		expect([response.status, refused]).to.deep.equal([200, ['evicted']]);
		const received: unknown[] = await answer;
		expect(String(received[0])).to.contain('the memory for request bodies is in use');
		stalled.destroy();
		await closed;
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
