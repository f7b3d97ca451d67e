/**
 * Stand-in of a plain service: a ledger that counts each posting by its key, so that doubles and losses show.
 */
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';

const postingSchema = z.looseObject({key: z.string()});

export class LedgerServer {
	/** How often each posting was taken. */
	readonly postings = new Map<string, number>();
	readonly #server = new HttpServer();

	constructor() {
		this.#server.on('post', '/postings', async ({request, response}) => {
			const {key} = postingSchema.parse(await readJson(request));
			const count = (this.postings.get(key) ?? 0) + 1;
			this.postings.set(key, count);
			sendJson(response, 201, {key, count});
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
}
