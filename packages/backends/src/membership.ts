/**
 * The platform's list of hosts, which lags behind the truth.
 */
import {z} from 'zod';

export const memberSchema = z.object({
	id: z.string(),
	role: z.enum(['entry', 'agent']),
	/** `ip:port` of the process's link. */
	address: z.string(),
	dataCentre: z.string(),
	region: z.string(),
	/** Name of the service whose endpoint the agent stands beside. */
	service: z.string().optional(),
	state: z.enum(['live', 'leaving']),
});

export type Member = z.infer<typeof memberSchema>;

export type MembershipList = {
	/** Throws `PlatformError`. */
	list(): Promise<Member[]>;
	/** Adds this process or replaces its row; the platform's own host registry does the rest. */
	announce(member: Member): Promise<void>;
};

/** The store of weights: which versions of each model exist. Bytes go from it to engines, never through us. */
export type WeightStore = {
	/** The newest published version of each model, and when it came (milliseconds since the epoch). */
	listVersions(): Promise<Array<{model: string; version: number; publishedAt: number}>>;
};
