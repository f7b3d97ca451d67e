/**
 * Switches for the mechanisms of the service, so that the effect of each can be measured.
 *
 * All but `sharesSlots` are on by default. A deployment may override some; decisions read this record only.
 */
import {z} from 'zod';

export const policySchema = z.strictObject({
	/** Move runs to a faster endpoint while they are in progress. */
	movesRuns: z.boolean().default(true),
	/** Regenerate long generations under newer weights, for a later step. */
	makesSecondTexts: z.boolean().default(true),
	/** Retain the finished and partial generations of incomplete groups for a later step. */
	keepsTexts: z.boolean().default(true),
	/** Checkpoint unfinished generations, so that a later owner can resume them. */
	keepsCheckpoints: z.boolean().default(true),
	/** Allow only one attempt at a time after an endpoint has refused a request, or has not answered. */
	pausesAfterRefusals: z.boolean().default(true),
	pausesAfterSilences: z.boolean().default(true),
	/** Weigh endpoints by their pace; otherwise by their open requests alone. */
	weighsPaces: z.boolean().default(true),
	/** Prefer endpoints that have processed a prefix of the prompt, or to which a connection is open. */
	prefersWarm: z.boolean().default(true),
	prefersConnected: z.boolean().default(true),
	/** Hedge slow calls that may be repeated, by sending them to a second endpoint. */
	hedgesCalls: z.boolean().default(true),
	/** Divide a batch among several hosts according to its size. */
	sharesBatches: z.boolean().default(true),
	/** Assign a trainer's next batch to the hosts that worked on its last one. */
	keepsTrainers: z.boolean().default(true),
	/** Let hosts take over in rank order; otherwise all at the same time. */
	ranksTakeOvers: z.boolean().default(true),
	/** Relay store calls through other hosts when the store does not serve a host. */
	relaysStoreCalls: z.boolean().default(true),
	/** Queue requests, generations and scores of a host in one order; otherwise each looks for an endpoint by itself. */
	queuesAtHost: z.boolean().default(true),
	/** Announce to all hosts which endpoints are loading weights, so that they send nothing to them in the meantime. */
	tellsLoads: z.boolean().default(true),
	/** Allocate the slots of an endpoint to hosts through its coordinator host. */
	sharesSlots: z.boolean().default(false),
	/** Distinguish persistent, episodic and transient speed of endpoints, and plan generations accordingly. */
	plansTexts: z.boolean().default(true),
	/** Commit first what a step needs most, and commit the results of several shares together. */
	commitsByWorth: z.boolean().default(true),
	/** Load weights when the fewest generations wait for it; otherwise a fixed time after their publication. */
	timesLoads: z.boolean().default(true),
	/** Refuse requests that have crashed three endpoints. */
	refusesCrashers: z.boolean().default(true),
	/** How the endpoints of a service are divided among its models. */
	placement: z.enum(['by-need', 'even', 'all-models']).default('by-need'),
	/** Order in which the samples of a batch are started. */
	sampleOrder: z.enum(['longest-first', 'as-submitted']).default('longest-first'),
	/** Let only a part of a model's endpoints load at the same time. */
	staggersLoads: z.boolean().default(true),
	/**
	 * Time from the publication of a version to the first order to load it, in milliseconds. A trainer submits its next step some milliseconds after it has
	 * published; engines that load start nothing, so with immediate orders a third of the slots were empty for the first second of each step. During this
	 * time the step fills all slots, and its runs continue during the load.
	 */
	loadDelayMs: z.int().min(0).max(10_000).default(300),
});

export type Policy = z.infer<typeof policySchema>;

/** The policy with all defaults. */
export const defaultPolicy: Policy = policySchema.parse({});

/** Returns the settings of a policy that differ from the defaults, for a log line. */
export function listOverrides(policy: Policy): Partial<Policy> {
	const defaults = new Map<string, unknown>(Object.entries(defaultPolicy));
	return Object.fromEntries(Object.entries(policy).filter(([name, value]) => value !== defaults.get(name)));
}
