/**
 * What a gateway tells operators of itself: `GET /status` on its address for metrics, as `wasabiusher gateways` reads it.
 */
import {z} from 'zod';

const countSchema = z.int().nonnegative();

/** An endpoint as one host sees it; times in milliseconds. */
export const endpointViewSchema = z.object({
	id: z.string(),
	service: z.string(),
	dataCentre: z.string(),
	slots: countSchema,
	/** Requests of this host there, and of others as last told. */
	open: countSchema,
	others: z.number().nonnegative(),
	isDraining: z.boolean(),
	/** Whether a request may be sent there now, as far as refusals, silences and loads go. */
	isAvailable: z.boolean(),
	/** Time for a unit of work of late, and the best that any host has measured of late. */
	paceMs: z.number().optional(),
	bestPaceMs: z.number().optional(),
	versions: z.record(z.string(), z.int()),
});

export type EndpointView = z.infer<typeof endpointViewSchema>;

/** Ways to the store. */
export const storeWays = ['direct', 'relayed', 'lost'] as const;

export const gatewayStatusSchema = z.object({
	host: z.string(),
	dataCentre: z.string(),
	isReady: z.boolean(),
	/** Version in force; undefined before the first one was read. */
	configuration: z.int().optional(),
	/** Time since the store last told of the configuration, in milliseconds; undefined if it never did. */
	configurationAgeMs: z.number().optional(),
	storeWay: z.enum(storeWays),
	/** How late this process's timers are, in milliseconds. */
	lateMs: z.number(),
	/** Whether it holds the lease for orders and reports. */
	isHolder: z.boolean(),
	/** Shares of batches that it works on. */
	shares: countSchema,
	/** Texts that have not begun at this host, by model. */
	waiting: z.record(z.string(), countSchema),
	/** Newest published version by model. */
	published: z.record(z.string(), z.int()),
	/** Who waits for a slot, and for how long the oldest has, in milliseconds. */
	turns: z.array(z.object({
		turn: z.string(), urgency: z.int(), waiting: countSchema, oldestMs: z.number(),
	})).default([]),
	endpoints: z.array(endpointViewSchema),
});

export type GatewayStatus = z.infer<typeof gatewayStatusSchema>;
