/**
 * Stand-ins for the users' servers: model servers, which stream the text of an item, and plain servers, which answer reward calls.
 */
import {createServer} from 'node:http';
import {randomBytes} from 'node:crypto';
import {readBody} from './store.mjs';

/** Time between two writes of a server's entry, in milliseconds. */
const heartbeatMs = 1200;

const createStamp = () => `3e1b.07.${randomBytes(6).toString('hex')}`;

class Server {
	id = `i-${randomBytes(5).toString('hex')}`;
	running = 0;
	/** Items, calls and orders that it began, in order. */
	begun = [];
	finished = new Set();
	sequence = 0;
	isLeaving = false;
	#timer;
	#http;
	#sockets = new Set();

	constructor({store, service, zone, slots, record}) {
		Object.assign(this, {
			store, service, zone, slots, record,
		});
	}

	async start(host) {
		this.#http = createServer((request, response) => {
			this.#handle(request, response);
		});
		this.#http.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			this.#http.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#http.address().port}`;
		this.register();
		this.#timer = setInterval(() => {
			this.register();
		}, heartbeatMs);
	}

	register() {
		this.sequence += 1;
		this.store.put('servers', this.id, this.entry);
	}

	get entry() {
		return {
			service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', coldRemainingMs: 0, sequence: this.sequence,
		};
	}

	stop() {
		clearInterval(this.#timer);
		this.#http.closeAllConnections();
		this.#http.close();
	}

	/** Crashes: resets its channels, and neither listens nor writes its entry any more. */
	crash() {
		clearInterval(this.#timer);
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		this.#http.close();
	}

	async #handle(request, response) {
		const body = await readBody(request).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		const expected = request.headers['x-wasabiusher-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'x-wasabiusher-instance-id': this.id});
			response.end();
			return;
		}

		if (request.url === '/-/report') {
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify(this.report));
		} else if (request.url === '/-/order') {
			this.order(JSON.parse(body.toString()), response);
		} else if (this.running >= this.slots) {
			response.writeHead(503, {...this.head(request), 'x-wasabiusher-not-executed': '1'});
			response.end();
		} else {
			await this.#run(request, response, body);
		}
	}

	async #run(request, response, body) {
		this.running += 1;
		const id = request.headers['x-wasabiusher-attempt-id'];
		const after = Number(request.headers['last-event-id'] ?? 0);
		this.begun.push({
			id, path: request.url, at: Date.now(), after,
		});
		this.record(`${this.service} ${this.id} began ${id} at ${request.url} after event ${after}`);
		try {
			await this.serve(request, response, body, after);
		} finally {
			this.running -= 1;
		}
	}

	head(request) {
		return {
			'x-wasabiusher-attempt-id': request.headers['x-wasabiusher-attempt-id'] ?? '', 'x-wasabiusher-server-load': `${this.running},0,${this.slots}`,
		};
	}

	get report() {
		return {
			stage: 'both', models: [], busy: false, sequence: 0, waiting: 0, running: this.running, kvUsed: 0, kvTotal: 90_000, handles: 0,
		};
	}

	order(_order, response) {
		response.writeHead(400);
		response.end();
	}
}

/** A plain server that streams: writes `count` events on an answer that has no length and ends with its channel. */
export class StreamServer extends Server {
	paceMs = 20;
	count = 40;

	async serve(request, response, _body, after) {
		const id = request.headers['x-wasabiusher-attempt-id'];
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.writeHead(200, {...this.head(request), 'content-type': 'text/event-stream', 'x-wasabiusher-server-stamp': createStamp()});
		for (let n = after + 1; n <= this.count; n += 1) {
			// Events come one after the other.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, this.paceMs);
			});
			if (response.destroyed) {
				this.record(`${this.id} dropped ${id} after event ${n - 1}`);
				return;
			}

			response.write(`id: ${n}\ndata: ${id}-${n}\n\n`);
		}

		this.finished.add(id);
		this.record(`${this.id} made all ${this.count} events of ${id}`);
		response.end();
	}
}

/** A plain server: answers each call after a time with its own bytes. */
export class PlainServer extends Server {
	findWorkMs = () => 25;

	async serve(request, response) {
		await new Promise(resolve => {
			setTimeout(resolve, this.findWorkMs(request.url));
		});
		const stamp = createStamp();
		const bytes = `${request.headers['x-wasabiusher-attempt-id']} at ${this.id}`;
		this.finished.add(request.headers['x-wasabiusher-attempt-id']);
		response.writeHead(200, {...this.head(request), 'x-wasabiusher-server-stamp': stamp, 'content-length': bytes.length});
		response.end(bytes);
	}
}

/** A model server: streams `countEvents(id)` events, one each `paceMs`. */
export class ModelServer extends Server {
	paceMs = 40;
	/** Version of each model that it holds. */
	versions = {daka510000: 1};
	orders = 0;
	isBusy = false;
	/** Time of a load of weights, in milliseconds. */
	loadMs = 900;
	countEvents = () => 27;
	makeEvent = (id, n) => `${id}-${n}`;

	get entry() {
		return {
			...super.entry, stage: 'both', models: this.#listModels(), sequence: this.orders,
		};
	}

	get report() {
		return {
			...super.report, models: this.#listModels(), busy: this.isBusy, sequence: this.orders,
		};
	}

	#listModels() {
		return Object.entries(this.versions).map(([name, version]) => ({name, version, adapters: []}));
	}

	order({model, version, expected}, response) {
		const answer = status => {
			response.writeHead(status);
			response.end();
		};

		if (this.isBusy || (expected !== undefined && expected !== this.orders)) {
			answer(409);
		} else if (version <= this.versions[model]) {
			answer(200);
		} else {
			this.orders += 1;
			this.isBusy = true;
			setTimeout(() => {
				this.isBusy = false;
				this.versions[model] = version;
				this.register();
			}, this.loadMs);
			answer(202);
		}
	}

	async serve(request, response, _body, after) {
		const id = request.headers['x-wasabiusher-attempt-id'];
		const count = this.countEvents(id);
		response.writeHead(200, {
			...this.head(request),
			'content-type': 'text/event-stream',
			'x-wasabiusher-server-stamp': createStamp(),
			'x-wasabiusher-weight-versions': String(this.versions[request.headers['x-wasabiusher-model']]),
		});
		for (let n = after + 1; n <= count; n += 1) {
			// Events come one after the other.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, this.paceMs);
			});
			if (response.destroyed) {
				this.record(`${this.id} dropped ${id} after event ${n - 1}`);
				return;
			}

			response.write(`id: ${n}\ndata: ${this.makeEvent(id, n)}\n\n`);
		}

		this.finished.add(id);
		response.end();
	}
}
