/**
 * Settings of the stand-in engine, and the schemas of its requests.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';

/** A prompt that contains this text crashes the engine. */
export const poisonMarker = 'poison-pill';

/** Settings with defaults, so that a test states only the settings that it depends on. */
export const engineSettingsSchema = z.object({
	/** Maximum number of requests in the running batch. */
	slots: z.int().positive(),
	/** Time per token, in milliseconds, independent of the batch size. Less than 1 generates several tokens per millisecond. */
	tokenMs: z.number().positive(),
	/** Models loaded after each start, with their versions. */
	models: z.record(z.string(), z.int()),
	/** Tokens per event of a stream. */
	tokensPerEvent: z.int().positive().default(1),
	/** Time to compute one uncached block of a prompt, in milliseconds. */
	prefillMs: z.number().nonnegative().default(0),
	/** Capacity of the prefix cache, in blocks. */
	cacheBlocks: z.int().positive().default(4096),
	/** Delay before a cache event is listed, in milliseconds. */
	cacheEventLagMs: z.number().nonnegative().default(0),
	/** Fraction of cache events that are never listed. */
	cacheEventLoss: z.number().min(0).max(1).default(0),
	/** Age of the load figures in a report, in milliseconds. */
	reportLagMs: z.number().nonnegative().default(0),
	/** Time to activate loaded weights, in milliseconds. The engine generates no tokens in this time. */
	swapMs: z.number().nonnegative().default(0),
	/** Whether orders with an older fencing token are refused. */
	honoursFence: z.boolean().default(true),
	/** Time from a crash until the engine listens again, in milliseconds. */
	restartMs: z.number().nonnegative().default(1000),
	/** Seed of the random numbers. */
	seed: z.int().default(1),
});

export type EngineSettings = z.input<typeof engineSettingsSchema>;

export const completionSchema = z.object({
	model: z.string(),
	prompt: z.string().optional(),
	messages: z.array(z.object({content: z.string()})).optional(),
	/** Maximum number of tokens to generate in this run; the tokens of `resume_from` are not counted. */
	max_tokens: z.int().positive(),
	request_id: z.string().default(() => randomUUID()),
	resume_from: z.string().optional(),
	/** Higher is more urgent; 0 is the lowest priority. */
	priority: z.int().default(0),
});

export type Completion = z.infer<typeof completionSchema>;

export const orderSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load'), model: z.string(), version: z.int(), fence: z.int(),
	}),
	// Fetches the weights without activating them, which shortens the later load.
	z.object({
		kind: z.literal('prefetch'), model: z.string(), version: z.int(), fence: z.int(),
	}),
	z.object({kind: z.literal('unload'), model: z.string(), fence: z.int()}),
	z.object({kind: z.literal('role'), role: z.string(), fence: z.int()}),
]);

export type Order = z.infer<typeof orderSchema>;

/** Fault-injection switches, which can be set at any time. */
export const engineSwitchesSchema = z.strictObject({
	/** Number of the next swaps that fail and leave the old version active. */
	loadsToFail: z.int().nonnegative(),
	/** Steps per token; 1 is full speed. */
	slowness: z.int().positive(),
	/** Whether streams stall while their connections stay open. */
	isStalled: z.boolean(),
});

export type EngineSwitches = z.infer<typeof engineSwitchesSchema>;
