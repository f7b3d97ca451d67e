/**
 * The messages between entries, agents and hosts; each is validated against its schema when it is received.
 *
 * Each message about an attempt carries the ids of the request and of the attempt, and each part of an answer its sequence number, so that
 * a late message of another attempt can't become part of an answer.
 */
import {
	acceptedConfigurationSchema, configurationDeltaSchema, finishReasonSchema, generationPartSchema, generationRequestSchema, priorityClasses, ranSchema,
} from '@wasabiusher/shared';
import {z} from 'zod';

/** Must be equal on both sides; incremented by changes that older peers can't understand. */
export const protocolVersion = 1;

const countSchema = z.int().nonnegative();
const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
const headersSchema = z.record(z.string(), z.string());

/** The work to run at the endpoint. */
export const workSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('generate'), request: generationRequestSchema}),
	z.object({
		kind: z.literal('forward'), method: z.string(), path: z.string(), headers: headersSchema, body: bytesSchema.optional(),
	}),
]);

export type Work = z.infer<typeof workSchema>;

/** One event of an answer, sent in order. `finished` is the explicit end; without it the answer is incomplete. */
export const answerEventSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('head'), status: z.int(), headers: headersSchema}),
	z.object({kind: z.literal('body'), chunk: bytesSchema}),
	z.object({kind: z.literal('parts'), parts: z.array(generationPartSchema)}),
	z.object({kind: z.literal('finished'), reason: finishReasonSchema.optional()}),
]);

export type AnswerEvent = z.infer<typeof answerEventSchema>;

/** The state of an endpoint, reported by its agent; the entry routes requests by it. */
export const endpointStatusSchema = z.object({
	service: z.string(),
	models: z.array(z.object({model: z.string(), version: countSchema})),
	role: z.string(),
	/** Maximum number of concurrent requests that the agent allows. */
	limit: countSchema,
	running: countSchema,
	/** Running requests whose cancellation the endpoint has not confirmed yet, and those started before the agent. */
	draining: countSchema.optional(),
	/** Running requests of interactive callers. */
	interactive: countSchema.optional(),
	waiting: countSchema,
	/** Work of the queued requests, in estimated tokens (calls for plain services). */
	waitingWork: z.number().nonnegative(),
	/** Recent throughput, in the same unit per second. */
	workPerSecond: z.number().nonnegative(),
	/** Whether it accepts no new work because it is shutting down. */
	isLeaving: z.boolean(),
	isHealthy: z.boolean(),
	/** Version of the configuration in force at the agent. */
	configurationVersion: countSchema,
	/** Highest fencing token that the agent has received. */
	fence: countSchema,
});

export type EndpointStatus = z.infer<typeof endpointStatusSchema>;

/** Why an agent refused a request; in each case it did not run. */
export const refusalSchema = z.enum(['leaving', 'overloaded', 'expired', 'cancelled', 'unhealthy', 'quarantined', 'unknown-service', 'not-loaded', 'not-received']);

export type Refusal = z.infer<typeof refusalSchema>;

/** Identifies one attempt of one request. */
const attemptShape = {request: z.string(), attempt: z.int().positive()};

const orderSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('load'), model: z.string(), version: countSchema}),
	z.object({kind: z.literal('unload'), model: z.string()}),
	z.object({kind: z.literal('role'), role: z.string()}),
	/** Fetches weights without activating them. */
	z.object({kind: z.literal('prefetch'), model: z.string(), version: countSchema}),
]);

/** Crash evidence against requests with the same content. The time is sent as the remaining one because the clocks of hosts differ. */
export const suspicionSchema = z.object({
	fingerprint: z.string(),
	/** `<endpoint>@<incarnation>` of each crash during which the request was in flight. */
	crashes: z.array(z.string()),
	/** The crashes of which a later successful run has cleared the request. */
	cleared: z.array(z.string()),
	remainingMs: z.number().nonnegative(),
	/** Number of quarantines so far. */
	terms: countSchema,
});

/** A conditional write of a row, applied if the row has version `expect`; the value contains the attempt id. */
const commitWriteSchema = z.object({
	table: z.string(), key: z.string(), expect: countSchema, value: z.looseObject({attempt: z.string()}),
});

const rowAddressShape = {table: z.string(), part: z.string(), key: z.string()};

const rowRangeSchema = z.object({
	table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(), limit: z.int().optional(),
});

/** A call to the store that one host makes on behalf of another. */
export const storeWorkSchema = z.discriminatedUnion('op', [
	z.object({
		op: z.literal('commit'),
		conditions: z.array(z.object({...rowAddressShape, version: countSchema})),
		puts: z.array(z.object({...rowAddressShape, value: bytesSchema})),
		deletes: z.array(z.object(rowAddressShape)),
	}),
	z.object({op: z.literal('read'), range: rowRangeSchema}),
	z.object({
		op: z.literal('follow'), table: z.string(), after: countSchema, waitMs: z.number().nonnegative(),
	}),
]);

/** The result of such a call; a failure has the error code of the platform layer. */
export const storeAnswerSchema = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('committed'), version: countSchema, storeMs: z.number()}),
	z.object({
		outcome: z.literal('page'),
		rows: z.array(z.object({...rowAddressShape, value: bytesSchema, version: countSchema})),
		hasMore: z.boolean(), version: countSchema, storeMs: z.number(),
	}),
	z.object({
		outcome: z.literal('changes'),
		changes: z.array(z.object({...rowAddressShape, value: bytesSchema.optional(), version: countSchema})),
		version: countSchema, storeMs: z.number(),
	}),
	z.object({
		outcome: z.literal('failed'), code: z.enum(['unavailable', 'unknown', 'conflict', 'limited', 'refused', 'missing', 'invalid']), reason: z.string(),
	}),
]);

export type StoreWork = z.infer<typeof storeWorkSchema>;
export type StoreAnswer = z.infer<typeof storeAnswerSchema>;

/** Maximum number of urgency classes in one demand. */
const maxWants = 16;

/** The number of slots of an endpoint that a host uses, and its demand for more by urgency. */
const slotDemandSchema = z.object({
	endpoint: z.string(),
	filled: countSchema,
	wants: z.array(z.object({urgency: z.number(), dueInMs: z.number(), count: countSchema})).max(maxWants).readonly(),
	others: countSchema.optional(),
	sequence: countSchema,
});

/** The number of slots of an endpoint that are allocated to a host, for `termMs`. */
const slotRationSchema = z.object({
	endpoint: z.string(), slots: countSchema, termMs: z.number().positive(), sequence: countSchema,
});

export const messageKindsSchema = z.discriminatedUnion('kind', [
	// Handshake.
	z.object({kind: z.literal('challenge'), protocol: z.int(), nonce: z.string()}),
	z.object({
		kind: z.literal('hello'), protocol: z.int(), sender: z.string(), nonce: z.string(), proof: z.string(),
	}),
	z.object({
		kind: z.literal('welcome'), protocol: z.int(), sender: z.string(), proof: z.string(),
	}),
	// Liveness.
	z.object({kind: z.literal('ping'), sentAt: z.number()}),
	// Entry to agent.
	z.object({
		kind: z.literal('open'),
		...attemptShape,
		work: workSchema,
		service: z.string(),
		caller: z.string(),
		profile: z.string(),
		class: z.enum(priorityClasses),
		priority: z.int(),
		share: z.number().positive(),
		/** Estimated work in tokens; 1 for a plain call. */
		cost: z.number().positive(),
		/** Time left until the deadline, in milliseconds; relative because the clocks of hosts differ. */
		remainingMs: z.number(),
		isIdempotent: z.boolean(),
		/** Hash of the content, used to recognise poison requests. */
		fingerprint: z.string(),
		/** Whether the request must run alone because it was in flight when an endpoint crashed. */
		isSuspect: z.boolean().default(false),
	}),
	z.object({kind: z.literal('cancel'), ...attemptShape}),
	/** Requests the parts from sequence number `next`, after the link was replaced. */
	z.object({
		kind: z.literal('resume'),
		...attemptShape,
		next: countSchema,
		/** Time since `open` was sent, in milliseconds; the agent uses it to prove that it has never received that message. */
		sentAgoMs: z.number().nonnegative().optional(),
	}),
	/** Confirms all parts before `next`; advances the window and trims the replay buffer. */
	z.object({kind: z.literal('acknowledge'), ...attemptShape, next: countSchema}),
	z.object({
		kind: z.literal('order'), order: z.string(), fence: countSchema, body: orderSchema,
	}),
	// Agent to entry.
	z.object({
		kind: z.literal('refused'), ...attemptShape, reason: refusalSchema, retryAfterMs: z.number().optional(),
	}),
	/** The request has left the queue and may have run from now on. */
	z.object({kind: z.literal('started'), ...attemptShape}),
	z.object({
		kind: z.literal('part'), ...attemptShape, sequence: countSchema, event: answerEventSchema,
	}),
	z.object({
		kind: z.literal('failed'), ...attemptShape, ran: ranSchema, reason: z.string(), hasCrashed: z.boolean(),
	}),
	/** The endpoint has confirmed that a cancelled run has stopped. */
	z.object({kind: z.literal('stopped'), ...attemptShape}),
	z.object({kind: z.literal('status'), status: endpointStatusSchema}),
	z.object({
		kind: z.literal('ordered'), order: z.string(), outcome: z.enum(['done', 'fenced', 'failed']), detail: z.string(),
	}),
	// Entry to entry: one entry commits rows of many entries in a batch.
	z.object({kind: z.literal('commit'), commit: z.string(), write: commitWriteSchema}),
	z.object({
		kind: z.literal('committed'),
		commit: z.string(),
		outcome: z.enum(['written', 'lost', 'unavailable', 'unknown']),
		/** For `lost`: the existing row that won, if there is one. */
		row: z.object({key: z.string(), value: z.unknown(), version: countSchema}).optional(),
	}),
	// Both directions: state that is propagated over existing links.
	z.object({kind: z.literal('configuration'), accepted: acceptedConfigurationSchema}),
	/** The changes since the version that the receiver reported. */
	z.object({kind: z.literal('configuration-delta'), delta: configurationDeltaSchema}),
	z.object({
		kind: z.literal('quarantine'), fingerprint: z.string(), untilMs: z.number(), crashes: z.array(z.string()),
	}),
	/** Crash evidence against requests that were in flight when an endpoint crashed. */
	z.object({kind: z.literal('suspicions'), suspicions: z.array(suspicionSchema)}),
	// Host to host: a call to the store on behalf of a host that can't reach the store at present.
	z.object({kind: z.literal('store-call'), call: z.string(), work: storeWorkSchema}),
	z.object({kind: z.literal('store-answer'), call: z.string(), answer: storeAnswerSchema}),
	// Host to host: the demand for slots of an endpoint, sent to its coordinator host, and the allocation in return.
	z.object({kind: z.literal('slot-demand'), demand: slotDemandSchema}),
	z.object({kind: z.literal('slot-ration'), ration: slotRationSchema}),
	/** The version that the sender has, so that the receiver can detect missing changes and send them. */
	z.object({kind: z.literal('digest'), configurationVersion: countSchema}),
]);

/** Any message of the link. */
export type Message = z.infer<typeof messageKindsSchema>;

export type MessageKind = Message['kind'];

/** The message type of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, {kind: Kind}>;

const knownKinds: ReadonlySet<string> = new Set(messageKindsSchema.options.map(option => option.shape.kind.value));

/** Returns whether this version of the protocol supports a kind of message. */
export function isMessageKind(kind: string): kind is MessageKind {
	return knownKinds.has(kind);
}

/**
 * Maximum number of parts that an entry receives before it acknowledges; it always acknowledges after `finished`.
 * A quarter of the window of an answer, so that a stream never stalls for want of an acknowledgement.
 */
export const maxUnacknowledgedParts = 16;
