/**
 * The platform's table service and object store over HTTP.
 */
import {z} from 'zod';
import {callHttp, callJson} from './http.js';
import type {
	ConditionalWrite, ObjectStore, ScanOptions, StoredRow, TableService,
} from './storage.js';

const rowSchema = z.object({key: z.string(), value: z.unknown(), version: z.int()});
const versionsSchema = z.object({versions: z.array(z.int())});

/** Speaks the table service's HTTP interface at an origin such as `http://10.0.0.1:7000`. */
export class HttpTableService implements TableService {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async read(table: string, key: string): Promise<StoredRow | undefined> {
		const answer = await callJson({origin: this.#origin, method: 'GET', path: `/v1/tables/${table}/rows/${encodeURIComponent(key)}`});
		return answer === undefined ? undefined : rowSchema.parse(answer);
	}

	async scan(table: string, options: ScanOptions = {}): Promise<StoredRow[]> {
		const query = new URLSearchParams(Object.entries(options).map(([name, value]): [string, string] => [name, String(value)]));
		const answer = await callJson({origin: this.#origin, method: 'GET', path: `/v1/tables/${table}/rows?${query.toString()}`});
		return z.array(rowSchema).parse(answer ?? []);
	}

	async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		const answer = await callJson({
			origin: this.#origin, method: 'POST', path: '/v1/transactions', body: {writes},
		});
		return versionsSchema.parse(answer).versions;
	}
}

/** Speaks the object store's HTTP interface. */
export class HttpObjectStore implements ObjectStore {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async get(key: string): Promise<Uint8Array | undefined> {
		const response = await callHttp({origin: this.#origin, method: 'GET', path: `/v1/objects/${encodeURIComponent(key)}`});
		const content = await response.body.bytes();
		return response.statusCode === 404 ? undefined : content;
	}

	async put(key: string, content: Uint8Array): Promise<void> {
		const response = await callHttp({
			origin: this.#origin, method: 'PUT', path: `/v1/objects/${encodeURIComponent(key)}`, body: content,
		});
		await response.body.dump();
	}
}
