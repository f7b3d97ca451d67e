/**
 * Stand-in for a scoring service: derives a score between 0 and 1 from the hash of a text, and counts the requests for each sample.
 */
import {z} from 'zod';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';
import {hashToNumber} from '@wasabiusher/shared';
import {wait} from './wait.js';

const scoringSchema = z.looseObject({id: z.string(), text: z.string()});

/** Number of hash values: hashes are from 0 to one less than this. */
const hashRange = 2 ** 32;

export type ScorerSettings = {
	/** Processing time of a score, in milliseconds. */
	scoreMs: number;
};

/** HTTP server of the scorer. */
export class ScorerServer {
	/** Number of scoring requests for each sample, by sample id. */
	readonly scored = new Map<string, number>();
	/** Fault-injection switches, which can be set at any time. A failing scorer answers with status 500, a silent one does not answer. */
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

	/** Resolves to the origin to connect to. */
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
