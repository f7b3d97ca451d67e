import fs from 'node:fs';
import {syncBuiltinESMExports} from 'node:module';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {Connections} from '../src/index.js';

const {writeSync} = fs;

/** Makes writes of no bytes fail with a code of the system. */
function failEmptyWrites(code: string): void {
	Object.assign(fs, {
		writeSync(descriptor: number, content: Uint8Array | string): number {
			if (content.length === 0) {
				throw Object.assign(new Error(`write ${code}`), {code});
			}

			return typeof content === 'string' ? writeSync(descriptor, content) : writeSync(descriptor, content);
		},
	});
	syncBuiltinESMExports();
}

// Guards against answers without a length whose connection has failed in a way that libuv reports as an orderly end.
describe('Connections', () => {
	let server: Server;

	beforeEach(async () => {
		server = createServer(socket => {
			socket.once('data', () => {
				socket.end('HTTP/1.1 200 OK\r\n\r\nabc');
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		fs.writeSync = writeSync;
		syncBuiltinESMExports();
		server.close();
	});

	async function read(): Promise<string> {
		const {body} = await new Connections().send(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {method: 'GET', path: '/'});
		return body.text().catch(() => 'failed');
	}

	it('pass on an answer without a length that ends in order', async () => {
		expect(await read()).to.equal('abc');
	});

	it('pass it on if the end in order was followed by a reset', async () => {
		failEmptyWrites('EPIPE');
		expect(await read()).to.equal('abc');
	});

	for (const code of ['ECONNRESET', 'ETIMEDOUT', 'EHOSTUNREACH']) {
		it(`fail an answer without a length whose connection has failed with ${code}`, async () => {
			failEmptyWrites(code);
			expect(await read()).to.equal('failed');
		});
	}
});
