/**
 * Stand-in for a plain service: a ledger that counts postings by key, so that duplicates and losses can be detected.
 */
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';
import {wait} from './wait.js';

const postingSchema = z.looseObject({key: z.string()});

export type LedgerSettings = {
	/** Processing time of a posting, in milliseconds. */
	postingMs: number;
};

/** HTTP server of the ledger. */
export class LedgerServer {
	/** Number of times that each posting was processed, by key. */
	readonly postings = new Map<string, number>();
	/** Number of the next postings that are processed and whose connection is closed without an answer. */
	answersToLose = 0;
	readonly #settings: LedgerSettings;
	readonly #server = new HttpServer();

	constructor({postingMs = 0}: Partial<LedgerSettings> = {}) {
		this.#settings = {postingMs};
		this.#server.on('post', '/postings', async ({request, response}) => {
			const {key} = postingSchema.parse(await readJson(request));
			await this.#waitForPosting();
			const count = (this.postings.get(key) ?? 0) + 1;
			this.postings.set(key, count);
			if (this.answersToLose > 0) {
				this.answersToLose -= 1;
				response.destroy();
				return;
			}

			sendJson(response, 201, {key, count});
		});
		this.#server.on('get', '/postings', ({response}) => {
			sendJson(response, 200, Object.fromEntries(this.postings));
		});
		this.#server.on('get', '/postings/:key', ({response, parameters}) => {
			sendJson(response, 200, {key: parameters.key!, count: this.postings.get(parameters.key!) ?? 0});
		});
		this.#server.on('get', '/healthz', ({response}) => {
			response.end('ok\n');
		});
	}

	/** Resolves to the origin to connect to. */
	async start(address = '127.0.0.1:0'): Promise<string> {
		return `http://${await this.#server.listen(address)}`;
	}

	async stop(): Promise<void> {
		await this.#server.kill();
	}

	async #waitForPosting(): Promise<void> {
		if (this.#settings.postingMs > 0) {
			await wait(this.#settings.postingMs);
		}
	}
}
