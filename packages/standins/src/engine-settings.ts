/**
 * Settings of the stand-in engine, and the requests that it takes.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';

/** Prompts that hold this text crash the engine. */
export const poisonMarker = 'poison-pill';

/** Settings with their defaults, so that a test names only what it is about. */
export const engineSettingsSchema = z.object({
	/** Requests batched at once. */
	slots: z.int().positive(),
	/** Time a token takes, in milliseconds, whatever the batch; less than 1 makes several tokens a millisecond. */
	tokenMs: z.number().positive(),
	/** Models held at each start, with their versions. */
	models: z.record(z.string(), z.int()),
	/** Tokens in one event of a stream. */
	tokensPerEvent: z.int().positive().default(1),
	/** Time to compute one block of a prompt that is not cached, in milliseconds. */
	prefillMs: z.number().nonnegative().default(0),
	/** Blocks of prompts that the cache holds. */
	cacheBlocks: z.int().positive().default(4096),
	/** How late cache events show, in milliseconds. */
	cacheEventLagMs: z.number().nonnegative().default(0),
	/** Fraction of cache events never told. */
	cacheEventLoss: z.number().min(0).max(1).default(0),
	/** How old the load in a report is, in milliseconds. */
	reportLagMs: z.number().nonnegative().default(0),
	/** Time to put loaded weights in force, in milliseconds; no token is made meanwhile. */
	swapMs: z.number().nonnegative().default(0),
	/** Whether an order with an older fencing number is refused. */
	honoursFence: z.boolean().default(true),
	/** Time from a crash to being back, in milliseconds. */
	restartMs: z.number().nonnegative().default(1000),
	/** Seed of what is left to chance. */
	seed: z.int().default(1),
});

export type EngineSettings = z.input<typeof engineSettingsSchema>;

export const completionSchema = z.object({
	model: z.string(),
	prompt: z.string().optional(),
	messages: z.array(z.object({content: z.string()})).optional(),
	/** Most tokens made by this run; those of `resume_from` do not count. */
	max_tokens: z.int().positive(),
	request_id: z.string().default(() => randomUUID()),
	resume_from: z.string().optional(),
	/** 0 is the least urgent. */
	priority: z.int().default(0),
});

export type Completion = z.infer<typeof completionSchema>;

export const orderSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load'), model: z.string(), version: z.int(), fence: z.int(),
	}),
	// Fetches the weights without putting them in force, so that the later load is short.
	z.object({
		kind: z.literal('prefetch'), model: z.string(), version: z.int(), fence: z.int(),
	}),
	z.object({kind: z.literal('unload'), model: z.string(), fence: z.int()}),
	z.object({kind: z.literal('role'), role: z.string(), fence: z.int()}),
]);

export type Order = z.infer<typeof orderSchema>;

/** Failures that can be set at any time. */
export const engineSwitchesSchema = z.strictObject({
	/** How many of the next swaps fail, with the old version left in force. */
	loadsToFail: z.int().nonnegative(),
	/** Steps taken for one token; 1 is the full speed. */
	slowness: z.int().positive(),
	/** Whether streams stand still, with their connections open. */
	isStalled: z.boolean(),
});

export type EngineSwitches = z.infer<typeof engineSwitchesSchema>;
