/**
 * Settings of a load run. Every run is bounded in requests, duration and concurrent requests.
 */
import {z} from 'zod';

/** Upper limit of requests per run. */
const maxRequests = 1_000_000;

/** Upper limit of a run's duration, in seconds (one hour). */
const maxSeconds = 3600;

/** Parses a comma-separated list of origins. */
const originsSchema = z.string().transform(text => text.split(',').map(origin => origin.trim()).filter(Boolean)).pipe(z.array(z.url()));

export const loadSettingsSchema = z.object({
	entries: originsSchema.pipe(z.array(z.string()).min(1)).describe('origins of the entries for callers, comma-separated; taken in turn'),
	kind: z.enum(['call', 'stream', 'posting']).default('call').describe('call for whole answers, stream for streamed ones, posting for a plain service'),
	pattern: z.enum(['steady', 'burst', 'hot-caller', 'long-among-short']).default('steady').describe('how requests are spread over time, callers and lengths'),
	rate: z.coerce.number().positive().max(100_000).default(50).describe('requests in a second, on average'),
	seconds: z.coerce.number().positive().max(maxSeconds).default(10).describe('length of the run'),
	requests: z.coerce.number().int().min(1).max(maxRequests).default(100_000).describe('requests at the most'),
	concurrency: z.coerce.number().int().min(1).max(10_000).default(512).describe('requests open at once at the most; what is due beyond is counted as not sent'),
	callers: z.coerce.number().int().min(1).max(10_000).default(20).describe('callers that requests are spread over'),
	profile: z.string().min(1).describe('profile of the requests'),
	model: z.string().default('trail').describe('calls, streams: model asked for'),
	tokens: z.coerce.number().int().min(1).default(32).describe('calls, streams: tokens of an answer'),
	service: z.string().default('ledger').describe('postings: name of the plain service'),
	ledgers: originsSchema.default([]).describe('postings: origins of the ledger stand-ins, whose counts show what was doubled or lost'),
	timeoutMs: z.coerce.number().int().min(1).max(600_000).default(10_000).describe('deadline of a request, in milliseconds'),
	checkTags: z.stringbool().default(true).describe('check that each token is of the request\'s own answer, as the engine stand-ins mark them'),
	allowRemote: z.stringbool().default(false).describe('send to addresses other than loopback'),
	seed: z.coerce.number().int().default(1).describe('seed of all that is left to chance'),
	json: z.stringbool().default(false).describe('print one line of JSON'),
});

export type LoadSettings = z.infer<typeof loadSettingsSchema>;
