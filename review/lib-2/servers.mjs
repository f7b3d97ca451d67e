/**
 * Stand-ins of the users' servers, by PROTOCOL.md: model servers that stream events, and plain servers.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {listen, readBody} from './http.mjs';

const heartbeatMs = 1200;

/** Silence after which the registration of a server is removed: three heartbeats, in milliseconds. */
const lapseMs = 3 * heartbeatMs;

/** Largest time budget for which a timer is set, in milliseconds. */
const maxTimerMs = 600_000;

/** Time in which weights are loaded, in milliseconds. */
const loadMs = 900;

export class Server {
	/** Runs that began: `{id, server, at, after, events, end}`. */
	static runs = [];

	/** @param settings - `store`, `service`, `zone`, `slots`, `models`, `eventMs`, `countEvents(id)`, `workMs`, `record` */
	constructor(settings) {
		this.settings = {
			slots: 8, eventMs: 40, workMs: 25, models: [], ...settings,
		};
		this.versions = new Map(this.settings.models.map(name => [name, 1]));
		this.running = 0;
	}

	async start() {
		this.id = `i-${randomUUID().slice(0, 8)}`;
		this.sequence = 0;
		this.running = 0;
		this.isBusy = false;
		this.born = Date.now();
		this.highestFence = 0;
		const {address, crash} = await listen(async (request, response) => this.#handle(request, response));
		this.address = address;
		this.crashServer = crash;
		this.isUp = true;
		this.#register();
		this.timer = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Ends without a word; the registration lapses. */
	async crash() {
		const {store} = this.settings;
		const {id} = this;
		this.isUp = false;
		clearInterval(this.timer);
		setTimeout(() => {
			store.put('servers', id, undefined);
		}, lapseMs).unref();
		await this.crashServer();
	}

	async stop() {
		clearInterval(this.timer);
		if (this.isUp) {
			await this.crashServer();
		}
	}

	#register() {
		const {store, service, zone, slots} = this.settings;
		store.put('servers', this.id, {
			service, address: this.address, zone, version: 'v1', slots, state: 'ready', coldRemainingMs: 0, stage: 'both', models: this.#listModels(), sequence: this.sequence,
		});
	}

	#listModels() {
		return [...this.versions].map(([name, version]) => ({name, version, adapters: []}));
	}

	async #handle(request, response) {
		response.on('error', () => undefined);
		const expected = request.headers['x-wasabiusher-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			request.resume();
			response.writeHead(421, {'x-wasabiusher-instance-id': this.id});
			response.end();
			return;
		}

		if (request.url === '/-/report') {
			this.#sendJson(response, 200, {
				stage: 'both', models: this.#listModels(), busy: this.isBusy, sequence: this.sequence, waiting: 0, running: this.running, kvUsed: 0, kvTotal: 90_000, handles: 0,
			});
			return;
		}

		let body;
		try {
			body = await readBody(request);
		} catch {
			return;
		}

		if (request.url === '/-/order') {
			this.#takeOrder(JSON.parse(body.toString()), response);
			return;
		}

		await this.#run(request, response);
	}

	#takeOrder({model, version, expected, fencingToken}, response) {
		if (fencingToken < this.highestFence) {
			this.#sendJson(response, 412, {});
		} else if (this.isBusy || (expected !== undefined && expected !== this.sequence)) {
			this.#sendJson(response, 409, {});
		} else if (this.versions.get(model) === version) {
			this.#sendJson(response, 200, {});
		} else {
			this.highestFence = fencingToken;
			this.sequence += 1;
			this.isBusy = true;
			setTimeout(() => {
				this.versions.set(model, version);
				this.isBusy = false;
				this.#register();
			}, loadMs);
			this.#sendJson(response, 202, {});
		}
	}

	async #run({headers, url}, response) {
		const {slots, service, record} = this.settings;
		const id = headers['x-wasabiusher-attempt-id'];
		const common = {
			'x-wasabiusher-attempt-id': id, 'x-wasabiusher-server-stamp': `${id}.${this.id}`, 'x-wasabiusher-server-load': `${this.running + 1},0,${slots}`,
		};
		if (this.running >= slots) {
			this.#sendJson(response, 503, {}, {...common, 'x-wasabiusher-not-executed': '1', 'x-wasabiusher-server-load': `${this.running},0,${slots}`});
			return;
		}

		this.running += 1;
		const run = {
			id, server: this.id, service, url, at: performance.now(), after: Number(headers['last-event-id'] ?? 0), events: 0, end: undefined,
		};
		Server.runs.push(run);
		record?.('run', {
			id, server: this.id, service, after: run.after,
		});
		const isConnected = new Promise(resolve => {
			response.on('close', () => {
				resolve(false);
			});
		});
		const deadline = new Promise(resolve => {
			const remainingMs = Number(headers['x-wasabiusher-deadline-ms']);
			if (remainingMs < maxTimerMs) {
				setTimeout(resolve, remainingMs, false).unref();
			}
		});
		const isOpen = Promise.race([isConnected, deadline]);
		const startedOn = this.id;
		const outcome = this.settings.models.length > 0 ? await this.#stream(run, response, common, isOpen) : await this.#work(response, common, isOpen);
		run.end = {at: performance.now(), outcome};
		if (startedOn === this.id) {
			this.running -= 1;
		}

		record?.('run_end', {
			id, server: startedOn, outcome, events: run.events,
		});
	}

	/** Streams the events of a text; each has its id as data, so that a text shows which events it holds. */
	async #stream(run, response, common, isOpen) {
		const {models, eventMs, countEvents} = this.settings;
		const total = countEvents(run.id);
		response.writeHead(200, {...common, 'content-type': 'text/event-stream', 'x-wasabiusher-weight-versions': String(this.versions.get(models[0]))});
		response.flushHeaders();
		for (let event = run.after + 1; event <= total; event += 1) {
			// eslint-disable-next-line no-await-in-loop
			const isEnded = await Promise.race([isOpen, new Promise(resolve => {
				setTimeout(resolve, typeof eventMs === 'function' ? eventMs(this, run) : eventMs, true);
			})]) === false;
			if (isEnded || response.destroyed) {
				response.destroy();
				return 'dropped';
			}

			response.write(`id: ${event}\ndata: ${run.id}-${event}\n\n`);
			run.events += 1;
		}

		response.end();
		return 'whole';
	}

	async #work(response, common, isOpen) {
		const isEnded = await Promise.race([isOpen, new Promise(resolve => {
			setTimeout(resolve, this.settings.workMs, true);
		})]) === false;
		if (isEnded || response.destroyed) {
			return 'dropped';
		}

		this.#sendJson(response, 200, {}, common);
		return 'whole';
	}

	#sendJson(response, status, value, headers = {}) {
		const text = JSON.stringify(value);
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
		response.end(text);
	}
}

