/**
 * Sends requests and classifies their outcomes.
 */
import {Agent, request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {
	judgeText, readCompletion, StreamReader, type Expectation,
} from './answers.js';
import type {Arrival} from './arrivals.js';
import type {Outcome} from './outcome.js';
import type {LoadSettings} from './settings.js';

/** How long a response is awaited beyond the deadline, in milliseconds; after that, the system has missed the deadline. */
const graceMs = 5000;

const problemSchema = z.looseObject({kind: z.string(), ran: z.enum(['no', 'yes', 'unknown'])});

type Findings = Omit<Outcome, 'id' | 'latencyMs'>;

type Reader = (response: Dispatcher.ResponseData, expectation: Expectation, dueAt: number) => Promise<Findings>;

/** Sends requests of one kind to the entries, round-robin. */
export class Sender {
	readonly #settings: LoadSettings;
	readonly #agent: Agent;
	#next = 0;
	#open = 0;

	constructor(settings: LoadSettings) {
		this.#settings = settings;
		this.#agent = new Agent({connections: settings.concurrency});
	}

	/** Number of requests that have no outcome yet. */
	get open(): number {
		return this.#open;
	}

	/** @param dueAt - when the request was due, in milliseconds on the monotonic clock */
	async send(arrival: Arrival, dueAt: number): Promise<Outcome> {
		this.#open += 1;
		const findings = await this.#exchange(arrival, dueAt).catch((error: unknown): Findings => ({
			kind: 'unknown', tokens: 0, reason: readErrorCode(error), violations: [],
		}));
		this.#open -= 1;
		return {id: arrival.id, latencyMs: performance.now() - dueAt, ...findings};
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	async #exchange(arrival: Arrival, dueAt: number): Promise<Findings> {
		const {kind, timeoutMs, profile, checkTags} = this.#settings;
		const response = await request(new URL(this.#findPath(), this.#pickEntry()), {
			dispatcher: this.#agent,
			method: 'POST',
			body: JSON.stringify(this.#createBody(arrival)),
			headers: {
				'content-type': 'application/json',
				'wasabiusher-profile': profile,
				'wasabiusher-caller': arrival.caller,
				'wasabiusher-timeout-ms': String(timeoutMs),
			},
			headersTimeout: timeoutMs + graceMs,
			bodyTimeout: timeoutMs + graceMs,
		});
		return response.statusCode >= 400
			? readProblem(response)
			: readers[kind](response, {id: arrival.id, tokens: arrival.tokens, checkTags}, dueAt);
	}

	#findPath(): string {
		const {kind, service} = this.#settings;
		return kind === 'posting' ? `/${service}/postings` : '/v1/completions';
	}

	#pickEntry(): string {
		const {entries} = this.#settings;
		this.#next += 1;
		return entries[this.#next % entries.length]!;
	}

	#createBody({id, tokens}: Arrival): Record<string, unknown> {
		const {kind, model} = this.#settings;
		// The protocol's spelling of the field.
		const maxTokens = 'max_tokens';
		const completion = {
			model, prompt: `tag=${id}`, [maxTokens]: tokens, stream: kind === 'stream',
		};
		return kind === 'posting' ? {key: id} : completion;
	}
}

const readers: Readonly<Record<LoadSettings['kind'], Reader>> = {
	async call({body}, expectation) {
		const text = readCompletion(await body.text());
		return text === undefined
			? {
				kind: 'answered', tokens: 0, reason: '200', violations: ['not-whole'],
			}
			: createAnswer(text, expectation);
	},
	async stream({body}, expectation, dueAt) {
		const stream = new StreamReader();
		let firstContentMs: number | undefined;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			stream.push(chunk);
			firstContentMs ??= stream.text === '' ? undefined : performance.now() - dueAt;
		}

		return stream.isWhole
			? {...createAnswer(stream.text, expectation), firstContentMs}
			: {
				kind: 'unknown', tokens: 0, reason: 'cut-off', violations: [],
			};
	},
	async posting({statusCode, body}) {
		await body.dump();
		return {
			kind: 'answered', tokens: 0, reason: String(statusCode), violations: [],
		};
	},
};

function createAnswer(text: string, expectation: Expectation): Findings {
	return {
		kind: 'answered', tokens: expectation.tokens, reason: '200', violations: judgeText(text, expectation),
	};
}

async function readProblem({statusCode, body}: Dispatcher.ResponseData): Promise<Findings> {
	const parsed = problemSchema.safeParse(await body.json().catch(() => undefined));
	return {
		kind: parsed.success && parsed.data.ran === 'no' ? 'refused' : 'unknown',
		tokens: 0,
		reason: parsed.success ? parsed.data.kind : String(statusCode),
		violations: [],
	};
}

function readErrorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : 'failed';
}
