/**
 * Clients of the platform's table service and object store over HTTP.
 */
import {z} from 'zod';
import {
	callBytes, callEmpty, callJson, orUndefined,
} from './http.js';
import type {
	ConditionalWrite, ObjectStore, ScanOptions, StoredRow, TableService,
} from './storage.js';

const rowSchema = z.object({key: z.string(), value: z.unknown(), version: z.int()});
const versionsSchema = z.object({versions: z.array(z.int())});

/** Client of the table service at an origin such as `http://10.0.0.1:7000`. */
export class HttpTableService implements TableService {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		return orUndefined(callJson(rowSchema, {origin: this.#origin, method: 'GET', path: `/v1/tables/${table}/rows/${encodeURIComponent(key)}`}));
	}

	async scan(table: string, options: ScanOptions = {}): Promise<StoredRow[]> {
		const given = Object.entries(options).filter(([, value]) => value !== undefined);
		const query = new URLSearchParams(given.map(([name, value]): [string, string] => [name, String(value)]));
		return callJson(z.array(rowSchema), {origin: this.#origin, method: 'GET', path: `/v1/tables/${table}/rows?${query.toString()}`});
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		const {versions} = await callJson(versionsSchema, {
			origin: this.#origin, method: 'POST', path: '/v1/transactions', body: {writes},
		});
		return versions;
	}
}

/** Client of the object store at an origin. */
export class HttpObjectStore implements ObjectStore {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async get(key: string): Promise<Uint8Array | undefined> {
		return orUndefined(callBytes({origin: this.#origin, method: 'GET', path: `/v1/objects/${encodeURIComponent(key)}`}));
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		await callEmpty({
			origin: this.#origin, method: 'PUT', path: `/v1/objects/${encodeURIComponent(key)}`, body: content,
		});
	}
}
