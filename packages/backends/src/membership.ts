/**
 * Interfaces to the platform's membership list, which may be outdated, and to its weight store.
 */
import {z} from 'zod';

export const memberSchema = z.object({
	id: z.string(),
	role: z.enum(['entry', 'agent']),
	/** `ip:port` at which the process accepts links. */
	address: z.string(),
	dataCentre: z.string(),
	region: z.string(),
	/** Service of the endpoint that the agent runs beside. */
	service: z.string().optional(),
	state: z.enum(['live', 'leaving']),
});

export type Member = z.infer<typeof memberSchema>;

export type MembershipList = {
	/** Throws `PlatformError`. */
	list(): Promise<Member[]>;
	/** Adds this process or replaces its row; the platform's host registry handles everything else. */
	announce(member: Member): Promise<void>;
};

/** The weight store, as a list of published versions. Engines fetch the weights from it directly. */
export type WeightStore = {
	/** Lists the latest published version of each model, with its time of publication in milliseconds since the epoch. */
	listVersions(): Promise<Array<{model: string; version: number; publishedAt: number}>>;
};
