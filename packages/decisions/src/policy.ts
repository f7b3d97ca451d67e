/**
 * Which mechanisms decide, so that each can be switched off and its worth be measured.
 *
 * All but `sharesSlots` are on by default. A deployment may set some otherwise; decisions read the record and nothing else.
 */
import {z} from 'zod';

export const policySchema = z.strictObject({
	/** Runs leave an endpoint in their middle for a faster one. */
	movesRuns: z.boolean().default(true),
	/** Long texts are begun a second time under newer weights, for a later step. */
	makesSecondTexts: z.boolean().default(true),
	/** What was made of groups that are not whole is kept for a later step. */
	keepsTexts: z.boolean().default(true),
	/** Unfinished texts are written down for a next owner. */
	keepsCheckpoints: z.boolean().default(true),
	/** One attempt at a time after a refusal, and after a silence. */
	pausesAfterRefusals: z.boolean().default(true),
	pausesAfterSilences: z.boolean().default(true),
	/** Endpoints are weighed by their pace; without it by their open requests alone. */
	weighsPaces: z.boolean().default(true),
	/** Endpoints are preferred that have read a part of the prompt, or to which a connection is open. */
	prefersWarm: z.boolean().default(true),
	prefersConnected: z.boolean().default(true),
	/** Slow calls that may be repeated are sent to a second endpoint. */
	hedgesCalls: z.boolean().default(true),
	/** A batch is divided among several hosts, as its size asks. */
	sharesBatches: z.boolean().default(true),
	/** A trainer's next batch goes to the hosts that worked on its last one. */
	keepsTrainers: z.boolean().default(true),
	/** Hosts take over by rank; without it all at once. */
	ranksTakeOvers: z.boolean().default(true),
	/** A host that the store does not serve has others make its calls. */
	relaysStoreCalls: z.boolean().default(true),
	/** Requests, texts and scores wait at their host in one order; without it each looks for an endpoint by itself. */
	queuesAtHost: z.boolean().default(true),
	/** All hosts are told which endpoints load weights, and send them nothing meanwhile. */
	tellsLoads: z.boolean().default(true),
	/** Slots of an endpoint are shared among hosts by rations from its home host. */
	sharesSlots: z.boolean().default(false),
	/** Lasting classes, spells and present moments of endpoints are told apart, and texts are planned by them. */
	plansTexts: z.boolean().default(true),
	/** What a step needs most is committed first, and the results of several shares together. */
	commitsByWorth: z.boolean().default(true),
	/** Weights are loaded when the fewest texts wait for it; without it a fixed time after their publication. */
	timesLoads: z.boolean().default(true),
	/** Requests that crash endpoints are refused once three have crashed. */
	refusesCrashers: z.boolean().default(true),
	/** How the endpoints of a service are shared among its models. */
	placement: z.enum(['by-need', 'even', 'all-models']).default('by-need'),
	/** In which order the samples of a batch are begun. */
	sampleOrder: z.enum(['longest-first', 'as-submitted']).default('longest-first'),
	/** Whether only a part of a model's endpoints loads at a time. */
	staggersLoads: z.boolean().default(true),
	/**
	 * Time from the publication of a version to the first order for it, in milliseconds. A trainer hands in its next step some
	 * milliseconds after it has published; engines that load begin nothing, so with orders at once a third of the slots
	 * stayed empty for the first second of each step. In this time the step fills all slots, and its runs go on during the load.
	 */
	loadDelayMs: z.int().min(0).max(10_000).default(300),
});

export type Policy = z.infer<typeof policySchema>;

/** Everything on. */
export const defaultPolicy: Policy = policySchema.parse({});

/** Settings of a policy that differ from the defaults, for a log line. */
export function listDeviations(policy: Policy): Partial<Policy> {
	const defaults = new Map<string, unknown>(Object.entries(defaultPolicy));
	return Object.fromEntries(Object.entries(policy).filter(([name, value]) => value !== defaults.get(name)));
}
