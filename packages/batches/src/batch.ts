/**
 * A batch: the samples of one training step, submitted together and generated asynchronously.
 */
import {z} from 'zod';

/** A call that scores a sample's text once it is complete. */
export const scoreCallSchema = z.object({
	/** Identifies the call, which may be repeated. */
	id: z.string(),
	host: z.string(),
	path: z.string(),
	/** In base64. */
	body: z.string(),
});

export const sampleSchema = z.object({
	id: z.string(),
	path: z.string(),
	/** Header names are in lower case. */
	headers: z.record(z.string(), z.string()),
	/** In base64. */
	body: z.string(),
	/** Samples of a group share their prompt; a group counts only once all of them are complete. */
	group: z.string().optional(),
	/** Length that the trainer expects, in tokens; often inaccurate. */
	expectedTokens: z.number().optional(),
	score: scoreCallSchema.optional(),
});

export const submissionSchema = z.object({
	/** Host name and path that the batch was submitted to; they select its route. */
	host: z.string(),
	path: z.string(),
	/** Customer that owns the batch; undefined if no key was required. */
	customer: z.string().optional(),
	step: z.number().optional(),
	model: z.string().optional(),
	/** Oldest weight version that may generate a sample. */
	leastVersion: z.number(),
	/** Number of complete groups that the trainer waits for. */
	wantedGroups: z.number(),
	samples: z.array(sampleSchema),
});

/** Part of a batch's groups, generated, scored and committed by one process. */
export const shareSchema = z.object({
	/** Incarnation of the process that owns the share; empty if there is none. */
	owner: z.string(),
	/** Name of the owner's host; empty if there is none. */
	ownerHost: z.string(),
	/** Data centre of that host, by which endpoints are divided among shares. */
	dataCentre: z.string().default(''),
	/** Incremented with each change of owner. */
	term: z.int().nonnegative(),
});

/** The row of a batch in the store. A writer changes it on the condition that its version is still the one that was read. */
export const batchRecordSchema = z.object({
	id: z.string(),
	/** The first share has the longest groups; `divideGroups` returns the groups of each. */
	shares: z.array(shareSchema).min(1),
	/** Customer that owns the batch; empty if no key was required. */
	customer: z.string().default(''),
	/** Identifies the trainer, see `findSeries`. A new batch of a series shows that the trainer has moved on from the earlier ones. */
	series: z.string(),
	isEnded: z.boolean(),
	/** Name of the object that holds the submission; empty if it is stored in rows. */
	object: z.string(),
	total: z.int().nonnegative(),
	/** Model that generates the samples; empty if none was given. */
	model: z.string().default(''),
	/** Expected length of all texts in total, and of the longest one, in tokens; 0 if unknown. */
	expectedTokens: z.number().default(0),
	longestTokens: z.number().default(0),
	/** Time of acceptance on the store's steady clock, in milliseconds. */
	acceptedMs: z.number(),
});

export const sampleResultSchema = z.object({
	id: z.string(),
	state: z.enum(['made', 'abandoned']),
	/** Data of all events, separated by line feeds. */
	text: z.string(),
	/** Weight versions that generated events of the text, ascending. */
	versions: z.array(z.int()),
	/** Stamp of the scorer's answer. */
	score: z.string().optional(),
});

/** Stored state of an incomplete text. */
export const partialTextSchema = z.object({events: z.array(z.string()), versions: z.array(z.int())});

/** Text of a sample whose batch ended before its group was complete. */
export const retainedTextSchema = partialTextSchema.extend({
	/** Whether the text is complete. */
	isWhole: z.boolean(),
	/** Time of retention on the store's steady clock, in milliseconds. */
	keptMs: z.number(),
	/** A regeneration, started later under newer weights for a batch that allows only those. */
	renewed: partialTextSchema.extend({isWhole: z.boolean()}).optional(),
});

export type ScoreCall = z.infer<typeof scoreCallSchema>;
export type Sample = z.infer<typeof sampleSchema>;
export type Submission = z.infer<typeof submissionSchema>;
export type BatchShare = z.infer<typeof shareSchema>;
export type BatchRecord = z.infer<typeof batchRecordSchema>;
export type SampleResult = z.infer<typeof sampleResultSchema>;
export type PartialText = z.infer<typeof partialTextSchema>;
export type RetainedText = z.infer<typeof retainedTextSchema>;

/** A record with the version of its row. */
export type StoredBatch = {record: BatchRecord; version: number};

/** Results from a position on, and the number of samples of the batch. */
export type ResultPage = {total: number; results: SampleResult[]};
