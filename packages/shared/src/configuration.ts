/**
 * What operators accept: named profiles and services.
 *
 * One schema serves the command line's check, the entry's check and every
 * adopter, so that a document that passed once passes everywhere.
 */
import {z} from 'zod';

/** Longest deadline of a profile: a day, in milliseconds; nothing waits longer. */
const maxDeadlineMs = 86_400_000;

const nameSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v, 'expected a lower-case name of letters, digits and hyphens');

/** How late weights may be when a sample is handed over; both bounds hold. */
export const freshnessSchema = z.strictObject({
	/** Most versions that a sample's oldest part may lie behind the trainer's. */
	versions: z.int().min(0).max(1000),
	/** Greatest age of the sample's oldest version since a newer one came, in seconds. */
	seconds: z.number().positive().optional(),
});

/** What the burn report judges, as the fraction that must be good. */
export const objectiveSchema = z.strictObject({
	/** Requests answered whole before their deadline. */
	answeredInTime: z.number().gt(0).lt(1).optional(),
	/** Share of time for which trainers are not kept waiting. */
	trainerBusy: z.number().gt(0).lt(1).optional(),
	/** Samples handed over within their bound, first time. */
	fresh: z.number().gt(0).lt(1).optional(),
});

/** Scoring of samples before hand-over. */
export const scoringSchema = z.strictObject({
	service: nameSchema,
	/** Longest wait for a score after the sample is whole, in milliseconds; then it goes unscored and says so. */
	waitMs: z.int().min(0).max(maxDeadlineMs),
});

/** Classes from the most to the least urgent. */
export const priorityClasses = ['interactive', 'rollout', 'background'] as const;

export const profileSchema = z.strictObject({
	class: z.enum(priorityClasses),
	/** Order within the class: 0 is the least urgent. */
	priority: z.int().min(0).max(9).default(5),
	idempotent: z.boolean(),
	/** End-to-end deadline when the caller gives none, in milliseconds. */
	deadlineMs: z.int().min(1).max(maxDeadlineMs),
	/** Weight in the division of capacity among profiles. */
	share: z.number().positive().max(1000).default(1),
	freshness: freshnessSchema.optional(),
	scoring: scoringSchema.optional(),
	/** Whether a second attempt may be started for a slow one; idempotent profiles only. */
	hedge: z.boolean().default(false),
	objective: objectiveSchema.default({}),
}).refine(profile => profile.idempotent || !profile.hedge, {
	error: 'expected false: a non-idempotent request runs at most once', path: ['hedge'],
});

/** A pool of endpoints that serve the same thing. */
export const serviceSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('model'),
		/** Models (or `model:adapter`) that the pool's engines may hold. */
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

/** A configuration with its place in the history. */
export const acceptedConfigurationSchema = z.object({
	/** Counts up by one with each accepted change; 0 before the first. */
	version: z.int().nonnegative(),
	configuration: configurationSchema,
	/** When it was accepted, in milliseconds since the epoch. */
	acceptedAt: z.number(),
	author: z.string(),
});

export type AcceptedConfiguration = z.infer<typeof acceptedConfigurationSchema>;

/** What is in force before any configuration was accepted. */
export const emptyConfiguration: AcceptedConfiguration = {
	version: 0, configuration: {profiles: {}, services: {}}, acceptedAt: 0, author: '',
};
