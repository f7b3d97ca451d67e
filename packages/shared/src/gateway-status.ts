/**
 * The status that a gateway reports to operators: `GET /status` on its metrics address, read by `wasabiusher gateways`.
 */
import {z} from 'zod';

const countSchema = z.int().nonnegative();

/** The state of an endpoint as known to one host; times are in milliseconds. */
export const endpointViewSchema = z.object({
	id: z.string(),
	service: z.string(),
	dataCentre: z.string(),
	slots: countSchema,
	/** Open requests of this host at the endpoint (`open`), and those of other hosts by their last reports (`others`). */
	open: countSchema,
	others: z.number().nonnegative(),
	isDraining: z.boolean(),
	/** Whether a request may be sent to it now, judged by refusals, unanswered requests and weight loads. */
	isAvailable: z.boolean(),
	/** Recent time per unit of work, measured by this host (`paceMs`), and the lowest that any host has measured recently (`bestPaceMs`). */
	paceMs: z.number().optional(),
	bestPaceMs: z.number().optional(),
	versions: z.record(z.string(), z.int()),
});

export type EndpointView = z.infer<typeof endpointViewSchema>;

/** How a gateway reaches the store. */
export const storeWays = ['direct', 'relayed', 'lost'] as const;

export const gatewayStatusSchema = z.object({
	host: z.string(),
	dataCentre: z.string(),
	isReady: z.boolean(),
	/** Version of the configuration in force; undefined before the first one was read. */
	configuration: z.int().optional(),
	/** Time since the configuration was last confirmed by the store, in milliseconds; undefined if it never was. */
	configurationAgeMs: z.number().optional(),
	storeWay: z.enum(storeWays),
	/** Event-loop lag of this process, in milliseconds. */
	lateMs: z.number(),
	/** Whether this host holds the lease for orders and reports. */
	isHolder: z.boolean(),
	/** Number of shares of batches that this host works on. */
	shares: countSchema,
	/** Number of generations that have not started at this host, by model. */
	waiting: z.record(z.string(), countSchema),
	/** Latest published version by model. */
	published: z.record(z.string(), z.int()),
	/** Flows with requests that wait for a slot; `oldestMs` is how long the first of them has waited, in milliseconds. */
	turns: z.array(z.object({
		turn: z.string(), urgency: z.int(), waiting: countSchema, oldestMs: z.number(),
	})).default([]),
	endpoints: z.array(endpointViewSchema),
});

export type GatewayStatus = z.infer<typeof gatewayStatusSchema>;
