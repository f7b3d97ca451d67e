/**
 * A batch: the samples of one training step, handed in at once and made later.
 */
import {z} from 'zod';

/** A call that scores a sample's text once it is whole. */
export const scoreCallSchema = z.object({
	/** Names the call; it may be repeated. */
	id: z.string(),
	host: z.string(),
	path: z.string(),
	/** In base64. */
	body: z.string(),
});

export const sampleSchema = z.object({
	id: z.string(),
	path: z.string(),
	/** Names in lower case. */
	headers: z.record(z.string(), z.string()),
	/** In base64. */
	body: z.string(),
	/** Samples of a group share their prompt; a group counts only when it is whole. */
	group: z.string().optional(),
	/** What the trainer expects of the length, in tokens; often far off. */
	expectedTokens: z.number().optional(),
	score: scoreCallSchema.optional(),
});

export const submissionSchema = z.object({
	/** Host name and path by which the batch was handed in; they select its route. */
	host: z.string(),
	path: z.string(),
	/** Whose it is; undefined if no key was needed. */
	customer: z.string().optional(),
	step: z.number().optional(),
	model: z.string().optional(),
	/** Oldest version of the weights that may make a sample. */
	leastVersion: z.number(),
	/** Whole groups that the trainer waits for. */
	wantedGroups: z.number(),
	samples: z.array(sampleSchema),
});

/** A part of a batch's groups, made, scored and listed by one process. */
export const shareSchema = z.object({
	/** Incarnation of the process that works on it; empty when nobody does. */
	owner: z.string(),
	/** Name of the owner's host, for people. */
	ownerHost: z.string(),
	/** Where that host is; endpoints are divided by it. */
	dataCentre: z.string().default(''),
	/** Counts up with each change of owner. */
	term: z.int().nonnegative(),
});

/** The row of a batch in the store; whoever changes it expects the version that it has read. */
export const batchRecordSchema = z.object({
	id: z.string(),
	/** The first has the longest groups; `divideGroups` tells which groups each has. */
	shares: z.array(shareSchema).min(1),
	/** Whose it is; empty if no key was needed. */
	customer: z.string().default(''),
	/** What batches of one trainer have in common; a new one shows that the trainer has gone on. */
	series: z.string(),
	isEnded: z.boolean(),
	/** Name of the object that holds the submission; empty if it lies in rows. */
	object: z.string(),
	total: z.int().nonnegative(),
	/** The model that makes it; empty if none was named. */
	model: z.string().default(''),
	/** Expected length of all its texts together, and of the longest one, in tokens; 0 if nothing is known. */
	expectedTokens: z.number().default(0),
	longestTokens: z.number().default(0),
	/** On the store's steady clock, in milliseconds. */
	acceptedMs: z.number(),
});

export const sampleResultSchema = z.object({
	id: z.string(),
	state: z.enum(['made', 'abandoned']),
	/** Data of all events, divided by line feeds. */
	text: z.string(),
	/** Every version that made an event of the text, ascending. */
	versions: z.array(z.int()),
	/** The scorer's mark on its answer. */
	score: z.string().optional(),
});

/** What is kept of a text that is not whole yet. */
export const partialTextSchema = z.object({events: z.array(z.string()), versions: z.array(z.int())});

/** What was made of a sample whose batch ended before its group was whole. */
export const keptTextSchema = partialTextSchema.extend({
	/** Whether the text is whole. */
	isWhole: z.boolean(),
	/** When it was kept, on the store's steady clock, in milliseconds. */
	keptMs: z.number(),
	/** A second text, begun later under newer weights, for a batch that allows only those. */
	renewed: partialTextSchema.extend({isWhole: z.boolean()}).optional(),
});

export type ScoreCall = z.infer<typeof scoreCallSchema>;
export type Sample = z.infer<typeof sampleSchema>;
export type Submission = z.infer<typeof submissionSchema>;
export type BatchShare = z.infer<typeof shareSchema>;
export type BatchRecord = z.infer<typeof batchRecordSchema>;
export type SampleResult = z.infer<typeof sampleResultSchema>;
export type PartialText = z.infer<typeof partialTextSchema>;
export type KeptText = z.infer<typeof keptTextSchema>;

/** A record with the version of its row. */
export type StoredBatch = {record: BatchRecord; version: number};

/** Results from a position on. */
export type ResultPage = {total: number; results: SampleResult[]};
