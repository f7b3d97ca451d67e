/**
 * Stand-in of the platform's metadata store, by PROTOCOL.md: rows with versions, transactions under conditions, the feed, and objects.
 * A partition is a part of a table. Partitions can be made unavailable; each of their calls is then answered 503 and has no effect.
 */
import {Buffer} from 'node:buffer';
import {listen, readBody, wait} from './http.mjs';

/** Time of an answer, in milliseconds. */
const answerMs = 4;

const maxRows = 500;

export class Store {
	/** Partitions that are unavailable, as `table/part`. */
	down = new Set();
	#rows = new Map();
	#history = [];
	#version = 0;
	#objects = new Map();
	#watchers = new Set();
	#server;

	async start() {
		this.#server = await listen(async (request, response) => this.#handle(request, response));
		this.address = this.#server.address;
	}

	async stop() {
		await this.#server.crash();
	}

	/** Writes or removes a row as the operator, a trainer or a server does. */
	put(table, key, value, part = '') {
		this.#version += 1;
		this.#write({table, part, key}, value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'));
		this.#notify();
	}

	/** Lists the rows of a table with their decoded values. */
	list(table) {
		return [...this.#rows.values()].filter(row => row.table === table).map(row => ({...row, value: JSON.parse(Buffer.from(row.value, 'base64').toString())}));
	}

	#write({table, part, key}, value) {
		const id = JSON.stringify([table, part, key]);
		const row = {
			table, part, key, ver: this.#version,
		};
		if (value === undefined) {
			this.#rows.delete(id);
			this.#history.push({...row, removed: true});
		} else {
			this.#rows.set(id, {...row, value});
			this.#history.push({...row, value});
		}
	}

	#notify() {
		for (const watcher of this.#watchers) {
			watcher();
		}
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await readBody(request);
		await wait(answerMs);
		const {status, content} = await this.#answer(request.method, url, body);
		response.writeHead(status, {'content-type': Buffer.isBuffer(content) ? 'application/octet-stream' : 'application/json'});
		response.end(Buffer.isBuffer(content) ? content : JSON.stringify(content));
	}

	async #answer(method, {pathname, searchParams}, body) {
		const handlers = {
			'/-/rows-tx': () => this.#transact(JSON.parse(body.toString())),
			'/-/rows-get': () => this.#get(searchParams),
			'/-/rows-feed': async () => this.#feed(searchParams),
			'/-/rows-parts': () => this.#parts(searchParams),
		};
		const handler = handlers[pathname];
		return handler ? handler() : this.#handleObject(method, pathname, body);
	}

	#transact({expected = [], upserts = [], delete: deletes = []}) {
		if ([...expected, ...upserts, ...deletes].some(({table, part}) => this.down.has(`${table}/${part}`))) {
			return {status: 503, content: {}};
		}

		const find = ({table, part, key}) => this.#rows.get(JSON.stringify([table, part, key]));
		if (expected.some(row => (find(row)?.ver ?? 0) !== row.ver)) {
			return {status: 412, content: {rows: expected.flatMap(row => find(row) ?? []), ver: this.#version, nowMs: Math.round(performance.now())}};
		}

		this.#version += 1;
		for (const row of upserts) {
			this.#write(row, row.value);
		}

		for (const row of deletes) {
			this.#write(row, undefined);
		}

		this.#notify();
		return {status: 200, content: {ver: this.#version, nowMs: Math.round(performance.now())}};
	}

	#get(query) {
		const table = query.get('table');
		const part = query.get('part') ?? '';
		if (this.down.has(`${table}/${part}`)) {
			return {status: 503, content: {}};
		}

		const from = query.get('from') ?? '';
		const to = query.get('to');
		const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows));
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to))
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		return {
			status: 200, content: {
				rows: found.slice(0, limit), hasMore: found.length > limit, ver: this.#version, nowMs: Math.round(performance.now()),
			},
		};
	}

	async #feed(query) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const until = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
		for (;;) {
			if ([...this.down].some(partition => partition.startsWith(`${table}/`))) {
				return {status: 503, content: {}};
			}

			const rows = this.#history.filter(row => row.table === table && row.ver > after);
			if (rows.length > 0 || performance.now() >= until) {
				return {status: 200, content: {rows, ver: this.#version, nowMs: Math.round(performance.now())}};
			}

			// eslint-disable-next-line no-await-in-loop
			await this.#waitForChange(until - performance.now());
		}
	}

	async #waitForChange(ms) {
		await new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#watchers.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(1, ms));
			this.#watchers.add(finish);
		});
	}

	#parts(query) {
		const parts = [...new Set([...this.#rows.values()].filter(({table}) => table === query.get('table')).map(({part}) => part))].toSorted();
		return {status: 200, content: {parts: parts.filter(part => part > (query.get('after') ?? '')), ver: this.#version, nowMs: Math.round(performance.now())}};
	}

	#handleObject(method, pathname, body) {
		const [call, name] = pathname.split('/').slice(2);
		if (call === 'blob-put') {
			this.#objects.set(name, body);
			return {status: 200, content: {}};
		}

		if (call === 'blob-get') {
			const content = this.#objects.get(name);
			return content ? {status: 200, content} : {status: 404, content: {}};
		}

		if (call === 'blob-drop') {
			return {status: this.#objects.delete(name) ? 200 : 404, content: {}};
		}

		return {status: 404, content: {}};
	}
}
