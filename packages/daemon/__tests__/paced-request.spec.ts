import {once} from 'node:events';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {HttpServer, readBytes, sendJson} from '../src/index.js';

describe('PacedRequest', () => {
	let server: HttpServer;
	let sockets: Socket[];

	beforeEach(async () => {
		sockets = [];
		server = new HttpServer();
		server.on('post', '/', async ({request, response}) => {
			const {length} = await readBytes(request);
			sendJson(response, 200, {length});
		});
		server.on('get', '/', ({response}) => {
			sendJson(response, 200, {});
		});
		await server.listen('127.0.0.1:0');
	});

	afterEach(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await server.kill();
	});

	async function exchange(text: string): Promise<string> {
		const socket = connect((server.server.address() as AddressInfo).port, '127.0.0.1');
		sockets.push(socket);
		let received = '';
		socket.on('data', chunk => {
			received += String(chunk);
		});
		const closed = once(socket, 'close');
		socket.write(text);
		await closed;
		return received;
	}

	const chunkedHead = 'POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';

	it('reads whole bodies in very small and in large chunks, several at once', async () => {
		const small = `${chunkedHead}${'1\r\nx\r\n'.repeat(50_000)}0\r\n\r\n`;
		const large = `${chunkedHead}${`10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(30)}0\r\n\r\n`;
		const answers = await Promise.all([small, large, small, large].map(async text => exchange(text)));
		expect(answers.map(answer => answer.split('\r\n\r\n')[1])).to.deep.equal(['50000', '1966080', '50000', '1966080'].map(length => `{"length":${length}}\n`));
	});

	it('reads the request after a body that has waited', async () => {
		const answer = await exchange(`${chunkedHead.replace('connection: close\r\n', '')}${'1\r\nx\r\n'.repeat(30_000)}0\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`);
		expect(answer.match(/HTTP\/1\.1 \d{3}/gv)).to.deep.equal(['HTTP/1.1 200', 'HTTP/1.1 200']);
	});
});
