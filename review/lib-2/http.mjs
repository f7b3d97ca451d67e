/**
 * HTTP helpers of the stand-ins. They use Node.js alone.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Starts a server on a free loopback port; resolves to the server and its `ip:port`. */
export async function listen(handler, port = 0) {
	const server = http.createServer({keepAliveTimeout: 5000}, (request, response) => {
		handler(request, response);
	});
	const sockets = new Set();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => sockets.delete(socket));
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Resets all connections and stops listening, as a crash does. */
		async crash() {
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}

			await closed;
		},
	};
}

/** Reads a whole body. */
export async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Sends one request on a new connection; resolves to its answer, or to status 0 if there is none. */
export async function send({address, method = 'GET', path, headers = {}, body, timeoutMs = 5000}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const fail = error => {
			resolve({
				status: 0, headers: {}, body: Buffer.alloc(0), error: String(error),
			});
		};

		const request = http.request({
			host, port, method, path, agent: false, timeout: timeoutMs, headers: {...headers, ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)})},
		}, async response => {
			try {
				resolve({status: response.statusCode, headers: response.headers, body: await readBody(response)});
			} catch (error) {
				fail(error);
			}
		});
		request.on('timeout', () => request.destroy(new Error('no answer in time')));
		request.on('error', fail);
		request.end(body);
	});
}

export async function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
