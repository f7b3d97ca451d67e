/**
 * A trainer as the demo and the tests need one: draws a step, keeps what it received, and reconnects.
 */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {z} from 'zod';
import {sampleSchema, type Sample} from '@wasabiusher/shared';

const deliverySchema = sampleSchema.extend({cursor: z.string()});

/** Wait before a lost stream is opened again, in milliseconds. */
const reconnectMs = 100;

/** Work of the trainer on one sample, in milliseconds; what it does while it waits for none. */
const workMs = 20;

export type StepOrder = {
	id: string;
	profile: string;
	trainer: string;
	model: string;
	groups: Array<{prompt: string}>;
	groupSize: number;
	maxTokens: number;
};

export type TrainerSettings = {
	/** Origins of entries; a reconnect goes to the next one. */
	origins: readonly [string, ...string[]];
	/** The weight version that the trainer is at, asked for at each pull. */
	version(): number;
	/** Called with each sample received for the first time. */
	onSample?(sample: Sample): void;
};

/** What a trainer received of one step. */
export type Received = {
	samples: Map<string, Sample>;
	/** Samples handed over again although the trainer had them. */
	doubled: number;
	/** Samples whose oldest part was behind the stated version by this many, by count. */
	staleness: Map<number, number>;
	/** Time without a sample to work on while the step was not whole, in milliseconds. */
	idleMs: number;
	/** When the trainer will have worked through what it has, on the monotonic clock. */
	busyUntil: number;
	/** Of the last sample received. */
	cursor: string;
};

/** Draws steps one at a time. */
export class Trainer {
	readonly #settings: TrainerSettings;
	#origin = 0;

	constructor(settings: TrainerSettings) {
		this.#settings = settings;
	}

	/** Draws a step until it is whole or the signal is aborted. */
	async draw(order: StepOrder, signal?: AbortSignal): Promise<Received> {
		const received: Received = {
			samples: new Map(), doubled: 0, staleness: new Map(), idleMs: 0, cursor: '', busyUntil: performance.now(),
		};
		const total = order.groups.length * order.groupSize;
		await this.#open(order);
		while (received.samples.size < total && !signal?.aborted) {
			try {
				// Each pull goes on where the one before ended.
				// eslint-disable-next-line no-await-in-loop
				await this.#pull(order.id, total, received, signal);
			} catch {
				this.#origin += 1;
				// eslint-disable-next-line no-await-in-loop
				await pause(reconnectMs);
			}
		}

		return received;
	}

	get #currentOrigin(): string {
		const {origins} = this.#settings;
		return origins[this.#origin % origins.length]!;
	}

	async #open(order: StepOrder): Promise<void> {
		const {statusCode, body} = await request(new URL('/v1/steps', this.#currentOrigin), {method: 'POST', body: JSON.stringify(order), headers: {'content-type': 'application/json'}});
		const text = await body.text();
		if (statusCode >= 300) {
			throw new Error(`the step was refused: ${text}`);
		}
	}

	async #pull(id: string, total: number, received: Received, signal?: AbortSignal): Promise<void> {
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
			// A newer version is stated by pulling anew.
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
			// An acknowledgement that is lost costs nothing but memory: the cursor has moved on.
		}
	}

	#receive(received: Received, sample: Sample, statedVersion: number): void {
		if (received.samples.has(sample.id)) {
			received.doubled += 1;
			return;
		}

		const now = performance.now();
		received.idleMs += Math.max(0, now - received.busyUntil);
		received.busyUntil = Math.max(now, received.busyUntil) + workMs;
		received.samples.set(sample.id, sample);
		const behind = statedVersion - Math.min(...sample.versions.map(({version}) => version));
		received.staleness.set(behind, (received.staleness.get(behind) ?? 0) + 1);
		this.#settings.onSample?.(sample);
	}
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
