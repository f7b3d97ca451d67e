/**
 * Stand-in of a scoring service: scores a text between 0 and 1 by its hash, and counts how often each sample came.
 */
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';
import {hashToNumber} from '@wasabiusher/shared';
import {wait} from './wait.js';

const scoringSchema = z.looseObject({id: z.string(), text: z.string()});

/** One more than the greatest hash. */
const hashRange = 2 ** 32;

export type ScorerSettings = {
	/** Time that a score takes, in milliseconds. */
	scoreMs: number;
};

export class ScorerServer {
	/** How often each sample was scored. */
	readonly scored = new Map<string, number>();
	/** Failures that can be set at any time. */
	readonly switches = {isFailing: false, isSilent: false};
	readonly #settings: ScorerSettings;
	readonly #server = new HttpServer();

	constructor({scoreMs = 0}: Partial<ScorerSettings> = {}) {
		this.#settings = {scoreMs};
		this.#server.on('post', '/scores', async ({request, response}) => {
			const {id, text} = scoringSchema.parse(await readJson(request));
			this.scored.set(id, (this.scored.get(id) ?? 0) + 1);
			if (this.#settings.scoreMs > 0) {
				await wait(this.#settings.scoreMs);
			}

			if (this.switches.isSilent) {
				return;
			}

			sendJson(response, ...this.#answer(id, text));
		});
		this.#server.on('get', '/scores', ({response}) => {
			sendJson(response, 200, Object.fromEntries(this.scored));
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

	#answer(id: string, text: string): [status: number, body: unknown] {
		return this.switches.isFailing
			? [500, {detail: 'the scorer fails'}]
			: [200, {id, score: hashToNumber(text) / hashRange}];
	}
}
