/**
 * Stand-in of a plain service: a ledger that counts each posting by its key, so that doubles and losses show.
 */
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';
import {wait} from './wait.js';

const postingSchema = z.looseObject({key: z.string()});

export type LedgerSettings = {
	/** Time that a posting takes, in milliseconds. */
	postingMs: number;
};

export class LedgerServer {
	/** How often each posting was taken. */
	readonly postings = new Map<string, number>();
	/** Postings taken whose answers are to be lost, by cutting the connection. */
	answersToLose = 0;
	readonly #settings: LedgerSettings;
	readonly #server = new HttpServer();

	constructor({postingMs = 0}: Partial<LedgerSettings> = {}) {
		this.#settings = {postingMs};
		this.#server.on('post', '/postings', async ({request, response}) => {
			const {key} = postingSchema.parse(await readJson(request));
			await this.#work();
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

	async start(address = '127.0.0.1:0'): Promise<string> {
		return `http://${await this.#server.listen(address)}`;
	}

	async stop(): Promise<void> {
		await this.#server.kill();
	}

	async #work(): Promise<void> {
		if (this.#settings.postingMs > 0) {
			await wait(this.#settings.postingMs);
		}
	}
}
