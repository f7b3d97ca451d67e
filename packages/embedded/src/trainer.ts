/**
 * A minimal trainer for the demo and for tests: submits a step, stores the samples that it receives, and reconnects.
 */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {z} from 'zod';
import {sampleSchema, type Sample} from '@wasabiusher/shared';

const deliverySchema = sampleSchema.extend({cursor: z.string()});

/** Delay before a failed stream is opened again, in milliseconds. */
const reconnectDelayMs = 100;

/** Simulated work of the trainer per sample, in milliseconds. The trainer is idle when it has worked through all received samples. */
const sampleWorkMs = 20;

/** Body of the request that submits a step. */
export type StepRequest = {
	id: string;
	profile: string;
	trainer: string;
	model: string;
	groups: Array<{prompt: string}>;
	groupSize: number;
	maxTokens: number;
};

export type TrainerSettings = {
	/** Origins of entries. A reconnect uses the next one. */
	origins: readonly [string, ...string[]];
	/** Returns the current weight version of the trainer. */
	version(): number;
	/** Called with each sample when it is received for the first time. */
	onSample?(sample: Sample): void;
};

/** Samples and figures of one step as a trainer received it. */
export type ReceivedStep = {
	samples: Map<string, Sample>;
	/** Number of samples delivered again after the trainer had received them. */
	duplicates: number;
	/** Number of samples by staleness: the versions from the oldest part of a sample to the version stated in the pull. */
	staleness: Map<number, number>;
	/** Time without a sample to work on while the step was incomplete, in milliseconds. */
	idleMs: number;
	/** Time at which the trainer will have worked through the received samples, in milliseconds of the monotonic clock. */
	busyUntil: number;
	/** Cursor of the last received sample. */
	cursor: string;
};

/** Submits steps and receives their samples. */
export class Trainer {
	readonly #settings: TrainerSettings;
	#originIndex = 0;

	constructor(settings: TrainerSettings) {
		this.#settings = settings;
	}

	/** Submits a step and receives its samples until it is complete or the signal is aborted. */
	async runStep(order: StepRequest, signal?: AbortSignal): Promise<ReceivedStep> {
		const received: ReceivedStep = {
			samples: new Map(), duplicates: 0, staleness: new Map(), idleMs: 0, cursor: '', busyUntil: performance.now(),
		};
		const total = order.groups.length * order.groupSize;
		await this.#submit(order);
		while (received.samples.size < total && !signal?.aborted) {
			try {
				// Each pull continues at the cursor of the previous one.
				// eslint-disable-next-line no-await-in-loop
				await this.#pull(order.id, total, received, signal);
			} catch {
				this.#originIndex += 1;
				// eslint-disable-next-line no-await-in-loop
				await pause(reconnectDelayMs);
			}
		}

		return received;
	}

	get #currentOrigin(): string {
		const {origins} = this.#settings;
		return origins[this.#originIndex % origins.length]!;
	}

	async #submit(order: StepRequest): Promise<void> {
		const {statusCode, body} = await request(new URL('/v1/steps', this.#currentOrigin), {method: 'POST', body: JSON.stringify(order), headers: {'content-type': 'application/json'}});
		const text = await body.text();
		if (statusCode >= 300) {
			throw new Error(`the step was refused: ${text}`);
		}
	}

	async #pull(id: string, total: number, received: ReceivedStep, signal?: AbortSignal): Promise<void> {
		const origin = this.#currentOrigin;
		const version = this.#settings.version();
		const {statusCode, body} = await request(new URL(`/v1/steps/${id}/samples?after=${received.cursor}&version=${version}`, origin), {signal});
		if (statusCode !== 200) {
			await body.dump();
			throw new Error(`the pull was refused with status ${statusCode}`);
		}

		const parser = createParser({
			onEvent: ({event, data}) => {
				if (event === 'sample') {
					const {cursor, ...sample} = deliverySchema.parse(JSON.parse(data));
					received.cursor = cursor;
					void this.#acknowledge(origin, id, sample.id);
					this.#receive(received, sample, version);
				}
			},
		});
		const decoder = new TextDecoder();
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			parser.feed(decoder.decode(chunk, {stream: true}));
			// A new pull states the newer version.
			if (received.samples.size === total || this.#settings.version() !== version) {
				break;
			}
		}
	}

	async #acknowledge(origin: string, id: string, sample: string): Promise<void> {
		try {
			const {body} = await request(new URL(`/v1/steps/${id}/acks`, origin), {method: 'POST', body: JSON.stringify({samples: [sample]}), headers: {'content-type': 'application/json'}});
			await body.dump();
		} catch {
			// A lost acknowledgement costs only memory in the service, because the next pull starts after the cursor.
		}
	}

	#receive(received: ReceivedStep, sample: Sample, statedVersion: number): void {
		if (received.samples.has(sample.id)) {
			received.duplicates += 1;
			return;
		}

		const now = performance.now();
		received.idleMs += Math.max(0, now - received.busyUntil);
		received.busyUntil = Math.max(now, received.busyUntil) + sampleWorkMs;
		received.samples.set(sample.id, sample);
		const staleness = statedVersion - Math.min(...sample.versions.map(({version}) => version));
		received.staleness.set(staleness, (received.staleness.get(staleness) ?? 0) + 1);
		this.#settings.onSample?.(sample);
	}
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
