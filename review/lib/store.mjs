/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows, transactions under conditions, a feed and objects.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Longest wait of a call of the feed, in milliseconds. */
const maxWaitMs = 30_000;

/** Limits of the page: rows and bytes of one answer, and bytes of one transaction. */
const maxPageRows = 500;
const maxBytes = 1_000_000;
const maxEntries = 100;

/** Largest object, in bytes. */
const maxBlobBytes = 8_388_608;

const compareKeys = (a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key));

/** Reads a complete request body. */
export async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** A store that loses nothing that it has acknowledged. */
export class Store {
	/** Decides how a call is answered: `undefined` to serve it, or `'busy'` for status 503. Gets the tables and parts that the call concerns. */
	gate = () => undefined;
	#rows = new Map();
	#blobs = new Map();
	#history = [];
	#version = 0;
	#waiters = new Set();
	#startedAt = performance.now();
	#server = createServer((request, response) => {
		this.#handle(request, response);
	});
	/** Number of calls that were answered with 503, and of transactions that were refused because of their size. */
	counts = {busy: 0, tooLarge: 0};

	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a row as the operator and the servers do, without a condition. */
	put(table, key, value) {
		this.#apply([{
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
		}], []);
	}

	/** Drops a row as the platform does. */
	drop(table, key) {
		this.#apply([], [{table, part: '', key}]);
	}

	/** Rows of a table in all parts. */
	list(table) {
		return [...this.#rows.values()].filter(row => row.table === table);
	}

	get #nowMs() {
		return Math.round(performance.now() - this.#startedAt) + 50_000;
	}

	#apply(upserts, deletes) {
		this.#version += 1;
		for (const {table, part, key, value} of upserts) {
			const row = {
				table, part, key, value, ver: this.#version,
			};
			this.#rows.set(`${table}\n${part}\n${key}`, row);
			this.#history.push(row);
		}

		for (const {table, part, key} of deletes) {
			if (this.#rows.delete(`${table}\n${part}\n${key}`)) {
				this.#history.push({
					table, part, key, ver: this.#version, removed: true,
				});
			}
		}

		for (const wake of this.#waiters) {
			wake();
		}
	}

	async #handle(request, response) {
		const body = await readBody(request).catch(() => undefined);
		if (body === undefined) {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const send = (status, value) => {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(value));
		};

		const call = {path: url.pathname, method: request.method, places: this.#findPlaces(url, body)};
		if (this.gate(call) === 'busy') {
			this.counts.busy += 1;
			send(503, {});
			return;
		}

		const name = decodeURIComponent(url.pathname.split('/').at(-1));
		switch (url.pathname) {
			case '/-/rows-tx': {
				this.#commit(body, send);

				break;
			}

			case '/-/rows-get': {
				this.#get(url.searchParams, send);

				break;
			}

			case '/-/rows-feed': {
				await this.#feed(url.searchParams, send);

				break;
			}

			default: {
				if (url.pathname.startsWith('/-/blob-put/') && body.length > maxBlobBytes) {
					send(413, {});
				} else if (url.pathname.startsWith('/-/blob-put/')) {
					this.#blobs.set(name, body);
					send(200, {});
				} else if (url.pathname.startsWith('/-/blob-get/') && this.#blobs.has(name)) {
					response.end(this.#blobs.get(name));
				} else if (url.pathname.startsWith('/-/blob-drop/')) {
					this.#blobs.delete(name);
					send(200, {});
				} else {
					send(404, {});
				}
			}
		}
	}

	/** Tables and parts that a call concerns; the part is undefined for a whole table. */
	#findPlaces(url, body) {
		if (url.pathname === '/-/rows-tx') {
			const {expected = [], upserts = [], delete: deletes = []} = JSON.parse(body.toString());
			return [...expected, ...upserts, ...deletes].map(({table, part}) => ({table, part}));
		}

		const table = url.searchParams.get('table');
		return table === null ? [] : [{table, part: url.searchParams.get('part') ?? undefined}];
	}

	#commit(body, send) {
		const {expected = [], upserts = [], delete: deletes = [], across = false} = JSON.parse(body.toString());
		const entries = [...expected, ...upserts, ...deletes];
		if (body.length > maxBytes || entries.length > maxEntries || (!across && new Set(entries.map(({part}) => part)).size > 1)) {
			this.counts.tooLarge += 1;
			send(413, {});
			return;
		}

		const find = ({table, part, key}) => this.#rows.get(`${table}\n${part}\n${key}`);
		if (expected.some(row => (find(row)?.ver ?? 0) !== row.ver)) {
			send(412, {rows: expected.map(row => find(row)).filter(Boolean), ver: this.#version, nowMs: this.#nowMs});
			return;
		}

		this.#apply(upserts, deletes);
		send(200, {ver: this.#version, nowMs: this.#nowMs});
	}

	#get(query, send) {
		const from = Buffer.from(query.get('from') ?? '');
		const to = query.has('to') ? Buffer.from(query.get('to')) : undefined;
		const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows));
		const part = query.get('part') ?? '';
		const found = this.list(query.get('table')).filter(row => row.part === part).toSorted(compareKeys).filter(({key}) => {
			const bytes = Buffer.from(key);
			return Buffer.compare(bytes, from) >= 0 && (to === undefined || Buffer.compare(bytes, to) < 0);
		});
		const rows = [];
		let size = 0;
		for (const row of found) {
			size += row.value.length + row.key.length + 100;
			if (rows.length >= limit || (rows.length > 0 && size > maxBytes)) {
				break;
			}

			rows.push(row);
		}

		send(200, {
			rows, hasMore: rows.length < found.length, ver: this.#version, nowMs: this.#nowMs,
		});
	}

	async #feed(query, send) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const until = performance.now() + Math.min(maxWaitMs, Number(query.get('waitMs') ?? 0));
		for (;;) {
			const rows = this.#history.filter(row => row.table === table && row.ver > after);
			if (rows.length > 0 || performance.now() >= until) {
				send(200, {rows, ver: this.#version, nowMs: this.#nowMs});
				return;
			}

			// Each wait ends with the next change.
			// eslint-disable-next-line no-await-in-loop
			await this.#waitForChange(until - performance.now());
		}
	}

	async #waitForChange(waitMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiters.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, waitMs);
			this.#waiters.add(wake);
		});
	}
}
