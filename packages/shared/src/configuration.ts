/**
 * The configuration that operators put in force: named profiles and services.
 *
 * The command line, the entry and every process that adopts a configuration validate with the same schema, so a document that is valid for
 * one of them is valid for all.
 */
import {z} from 'zod';

/** Maximum of deadlines and waits: a day, in milliseconds. */
const maxDeadlineMs = 86_400_000;

const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'expected a lower-case name of letters, digits and hyphens');

/** Maximum staleness of a sample's weights when it is delivered; both bounds apply. */
export const freshnessSchema = z.strictObject({
	/** Maximum number of versions by which a sample's oldest part may lag behind the trainer's version. */
	versions: z.int().min(0).max(1000),
	/** Maximum time since the sample's oldest version was superseded, in seconds. */
	seconds: z.number().positive().optional(),
});

/** Service level objectives for the burn report, each the minimum fraction of good events. */
export const objectiveSchema = z.strictObject({
	/** Requests answered completely before their deadline. */
	answeredInTime: z.number().gt(0).lt(1).optional(),
	/** Time in which trainers do not wait for samples. */
	trainerBusy: z.number().gt(0).lt(1).optional(),
	/** Samples that are within their staleness bound at the first delivery. */
	fresh: z.number().gt(0).lt(1).optional(),
});

/** Scoring of samples before delivery. */
export const scoringSchema = z.strictObject({
	service: nameSchema,
	/** Maximum wait for a score after the sample is complete, in milliseconds; after that the sample is delivered with its score marked as missing. */
	waitMs: z.int().min(0).max(maxDeadlineMs),
});

/** Priority classes, most urgent first. */
export const priorityClasses = ['interactive', 'rollout', 'background'] as const;

export const profileSchema = z.strictObject({
	class: z.enum(priorityClasses),
	/** Order within the class; 0 is the least urgent. */
	priority: z.int().min(0).max(9).default(5),
	idempotent: z.boolean(),
	/** End-to-end deadline when the caller gives none, in milliseconds. */
	deadlineMs: z.int().min(1).max(maxDeadlineMs),
	/** Weight in the fair division of capacity among profiles. */
	share: z.number().positive().max(1000).default(1),
	freshness: freshnessSchema.optional(),
	scoring: scoringSchema.optional(),
	/** Whether slow requests may be hedged with a second attempt; idempotent profiles only. */
	hedge: z.boolean().default(false),
	objective: objectiveSchema.default({}),
}).refine(profile => profile.idempotent || !profile.hedge, {
	error: 'expected false: a non-idempotent request runs at most once', path: ['hedge'],
});

/** A pool of interchangeable endpoints. */
export const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'),
		/** Models, `model` or `model:adapter`, that the pool's engines may load. */
		models: z.array(z.string().min(1)).min(1),
	}),
	z.strictObject({kind: z.literal('plain')}),
]);

export const configurationSchema = z.strictObject({
	profiles: z.record(nameSchema, profileSchema),
	services: z.record(nameSchema, serviceSchema),
}).superRefine((configuration, context) => {
	for (const [name, profile] of Object.entries(configuration.profiles)) {
		const scorer = profile.scoring?.service;
		if (scorer !== undefined && configuration.services[scorer]?.kind !== 'plain') {
			context.addIssue({
				code: 'custom',
				path: ['profiles', name, 'scoring', 'service'],
				message: `expected the name of a plain service, got "${scorer}"`,
			});
		}
	}
});

export type Freshness = z.infer<typeof freshnessSchema>;
export type Profile = z.infer<typeof profileSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
export type PriorityClass = Profile['class'];

/** A configuration with its version, time and author. */
export const acceptedConfigurationSchema = z.object({
	/** Increases by one with each accepted change; 0 before the first. */
	version: z.int().nonnegative(),
	configuration: configurationSchema,
	/** When it was accepted, in milliseconds since the epoch. */
	acceptedAt: z.number(),
	author: z.string(),
});

export type AcceptedConfiguration = z.infer<typeof acceptedConfigurationSchema>;

/** The configuration in force until the first one is accepted. */
export const emptyConfiguration: AcceptedConfiguration = {
	version: 0, configuration: {profiles: {}, services: {}}, acceptedAt: 0, author: '',
};
