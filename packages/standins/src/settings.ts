/**
 * Settings of the `wasabiusher-standins` program, which runs one stand-in per process.
 */
import {z} from 'zod';
import {engineSettingsSchema} from './engine-settings.js';

/** Parses `trail=3,hazard=1` into versions by model. */
const modelsSchema = z.string().transform((text, context) => {
	const models: Record<string, number> = {};
	for (const pair of text.split(',').filter(Boolean)) {
		const [model = '', version = ''] = pair.split('=');
		if (model === '' || !/^\d+$/v.test(version)) {
			context.addIssue({code: 'custom', message: `expected model=version, got "${pair}"`});
			return z.NEVER;
		}

		models[model] = Number(version);
	}

	return models;
});

const engineShape = engineSettingsSchema.shape;

export const standinSettingsSchema = z.object({
	role: z.enum(['platform', 'engine', 'ledger', 'scorer']).describe('what to stand in for'),
	listen: z.string().default('127.0.0.1:0').describe('ip:port to listen on'),
	models: modelsSchema.prefault('').describe('platform: versions published; engine: versions held; such as trail=3,hazard=1'),
	platform: z.url().optional().describe('engine: origin of the platform whose weight store it loads from'),
	slots: z.coerce.number().pipe(engineShape.slots).default(8).describe('engine: requests batched at once'),
	tokenMs: z.coerce.number().pipe(engineShape.tokenMs).default(10).describe('engine: time a token takes, in milliseconds'),
	tokensPerEvent: z.coerce.number().int().positive().default(1).describe('engine: tokens in one event of a stream'),
	prefillMs: z.coerce.number().nonnegative().default(0).describe('engine: time for one uncached block of a prompt, in milliseconds'),
	cacheBlocks: z.coerce.number().int().positive().default(4096).describe('engine: blocks of prompts that its cache holds'),
	cacheEventLagMs: z.coerce.number().nonnegative().default(0).describe('engine: how late cache events show, in milliseconds'),
	cacheEventLoss: z.coerce.number().min(0).max(1).default(0).describe('engine: fraction of cache events never told'),
	reportLagMs: z.coerce.number().nonnegative().default(0).describe('engine: how old the load in a report is, in milliseconds'),
	swapMs: z.coerce.number().nonnegative().default(0).describe('engine: time to put loaded weights in force, in milliseconds'),
	honoursFence: z.stringbool().default(true).describe('engine: whether older fencing numbers are refused'),
	restartMs: z.coerce.number().nonnegative().default(1000).describe('engine: time from a crash to being back, in milliseconds'),
	workMs: z.coerce.number().nonnegative().default(0).describe('ledger, scorer: time that a call takes, in milliseconds'),
	memberLagMs: z.coerce.number().nonnegative().default(0).describe('platform: how late announcements of hosts show, in milliseconds'),
	weightBytes: z.coerce.number().positive().default(1).describe('platform: size of one version of weights, in bytes'),
	weightBytesPerSecond: z.coerce.number().positive().optional().describe('platform: rate of the weight store, all readers together'),
	writesPerSecond: z.coerce.number().positive().optional().describe('platform: writes that the storage takes in a second'),
	readsPerSecond: z.coerce.number().positive().optional().describe('platform: reads that the storage takes in a second'),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('least severe event logged'),
});

export type StandinSettings = z.infer<typeof standinSettingsSchema>;
