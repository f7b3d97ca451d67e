/**
 * The messages between entries and agents, each checked by its schema when it arrives.
 *
 * An attempt of a request is named by both ids in every message about it, and each part
 * of an answer carries its sequence number, so that a late message of another attempt
 * can't enter an answer.
 */
import {
	acceptedConfigurationSchema, configurationDeltaSchema, finishReasonSchema, generationPartSchema, generationRequestSchema, priorityClasses, ranSchema,
} from '@wasabiusher/shared';
import {z} from 'zod';

/** Raised when an older peer could not understand us; both ends must agree. */
export const protocolVersion = 1;

const countSchema = z.int().nonnegative();
const bytesSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'expected bytes');
const headersSchema = z.record(z.string(), z.string());

/** What is to be run at the endpoint. */
export const workSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('generate'), request: generationRequestSchema}),
	z.object({
		kind: z.literal('forward'), method: z.string(), path: z.string(), headers: headersSchema, body: bytesSchema.optional(),
	}),
]);

export type Work = z.infer<typeof workSchema>;

/** One event of an answer, in order. `finished` is the explicit end; without it the answer is not whole. */
export const answerEventSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('head'), status: z.int(), headers: headersSchema}),
	z.object({kind: z.literal('body'), chunk: bytesSchema}),
	z.object({kind: z.literal('parts'), parts: z.array(generationPartSchema)}),
	z.object({kind: z.literal('finished'), reason: finishReasonSchema.optional()}),
]);

export type AnswerEvent = z.infer<typeof answerEventSchema>;

/** An endpoint as its agent knows it; the entry's routing is built on this. */
export const endpointStatusSchema = z.object({
	service: z.string(),
	models: z.array(z.object({model: z.string(), version: countSchema})),
	role: z.string(),
	/** Requests that the agent lets run at once. */
	limit: countSchema,
	running: countSchema,
	/** Of them, those told to stop that the endpoint has not confirmed, and those from before the agent started. */
	draining: countSchema.optional(),
	/** Of them, those of interactive callers. */
	interactive: countSchema.optional(),
	waiting: countSchema,
	/** Work waiting, in estimated tokens (or calls, for plain services). */
	waitingWork: z.number().nonnegative(),
	/** Work done in a second, of late, in the same unit. */
	workPerSecond: z.number().nonnegative(),
	/** Takes no new work. */
	isLeaving: z.boolean(),
	isHealthy: z.boolean(),
	/** Version of the configuration in force at the agent. */
	configurationVersion: countSchema,
	/** Highest fencing number seen. */
	fence: countSchema,
});

export type EndpointStatus = z.infer<typeof endpointStatusSchema>;

/** Why an agent refused; all of them mean that nothing ran. */
export const refusalSchema = z.enum(['leaving', 'overloaded', 'expired', 'cancelled', 'unhealthy', 'quarantined', 'unknown-service', 'not-loaded', 'not-received']);

export type Refusal = z.infer<typeof refusalSchema>;

/** Names one attempt of one request. */
const attemptShape = {request: z.string(), attempt: z.int().positive()};

const orderSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('load'), model: z.string(), version: countSchema}),
	z.object({kind: z.literal('unload'), model: z.string()}),
	z.object({kind: z.literal('role'), role: z.string()}),
	/** Fetches weights without bringing them into force. */
	z.object({kind: z.literal('prefetch'), model: z.string(), version: countSchema}),
]);

/** How long a request, by its content, is suspected; times are left over, as the clocks of hosts differ. */
export const suspicionSchema = z.object({
	fingerprint: z.string(),
	/** `<endpoint>@<incarnation>` of each crash at which it was in flight. */
	crashes: z.array(z.string()),
	/** Those of them that a later finish has cleared it of. */
	cleared: z.array(z.string()),
	remainingMs: z.number().nonnegative(),
	/** Terms of quarantine so far. */
	terms: countSchema,
});

/** A row to be written if it has the version expected; its value carries the attempt id. */
const commitWriteSchema = z.object({
	table: z.string(), key: z.string(), expect: countSchema, value: z.looseObject({attempt: z.string()}),
});

const rowAddressShape = {table: z.string(), part: z.string(), key: z.string()};

const rowRangeSchema = z.object({
	table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(), limit: z.int().optional(),
});

/** A call to the store that one host makes for another. */
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

/** What came of such a call; a failure carries the code of the platform layer. */
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

/** Most classes of urgency in one demand. */
const maxWants = 16;

/** Slots of an endpoint that a host fills and wants. */
const slotDemandSchema = z.object({
	endpoint: z.string(),
	filled: countSchema,
	wants: z.array(z.object({urgency: z.number(), dueInMs: z.number(), count: countSchema})).max(maxWants).readonly(),
	others: countSchema.optional(),
	sequence: countSchema,
});

/** Slots of an endpoint that a host may fill. */
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
		/** Estimated work in tokens (or 1 for a plain call). */
		cost: z.number().positive(),
		/** What is left of the deadline, in milliseconds; clocks of hosts differ. */
		remainingMs: z.number(),
		isIdempotent: z.boolean(),
		/** Hash of the content, by which poison requests are recognised. */
		fingerprint: z.string(),
		/** Must run with nothing beside it: it was in flight when an endpoint crashed. */
		isSuspect: z.boolean().default(false),
	}),
	z.object({kind: z.literal('cancel'), ...attemptShape}),
	/** Asks for the parts from `next` on, after a link was replaced. */
	z.object({
		kind: z.literal('resume'),
		...attemptShape,
		next: countSchema,
		/** Time since the attempt was opened, in milliseconds; by it an agent can prove that `open` never arrived. */
		sentAgoMs: z.number().nonnegative().optional(),
	}),
	/** All parts before `next` have arrived; opens the window and trims the replay buffer. */
	z.object({kind: z.literal('acknowledge'), ...attemptShape, next: countSchema}),
	z.object({
		kind: z.literal('order'), order: z.string(), fence: countSchema, body: orderSchema,
	}),
	// Agent to entry.
	z.object({
		kind: z.literal('refused'), ...attemptShape, reason: refusalSchema, retryAfterMs: z.number().optional(),
	}),
	/** The request has left the queue: from here on it may have run. */
	z.object({kind: z.literal('started'), ...attemptShape}),
	z.object({
		kind: z.literal('part'), ...attemptShape, sequence: countSchema, event: answerEventSchema,
	}),
	z.object({
		kind: z.literal('failed'), ...attemptShape, ran: ranSchema, reason: z.string(), hasCrashed: z.boolean(),
	}),
	/** The endpoint confirmed that a cancelled run has stopped. */
	z.object({kind: z.literal('stopped'), ...attemptShape}),
	z.object({kind: z.literal('status'), status: endpointStatusSchema}),
	z.object({
		kind: z.literal('ordered'), order: z.string(), outcome: z.enum(['done', 'fenced', 'failed']), detail: z.string(),
	}),
	// Entry to entry: rows of many entries that one of them commits together.
	z.object({kind: z.literal('commit'), commit: z.string(), write: commitWriteSchema}),
	z.object({
		kind: z.literal('committed'),
		commit: z.string(),
		outcome: z.enum(['written', 'lost', 'unavailable', 'unknown']),
		/** With `lost`: the row that came first, if there is one. */
		row: z.object({key: z.string(), value: z.unknown(), version: countSchema}).optional(),
	}),
	// Both ways: what spreads over the links that exist anyway.
	z.object({kind: z.literal('configuration'), accepted: acceptedConfigurationSchema}),
	/** What changed since a version that the receiver said it has. */
	z.object({kind: z.literal('configuration-delta'), delta: configurationDeltaSchema}),
	z.object({
		kind: z.literal('quarantine'), fingerprint: z.string(), untilMs: z.number(), crashes: z.array(z.string()),
	}),
	/** What is known of requests that were in flight when an endpoint crashed. */
	z.object({kind: z.literal('suspicions'), suspicions: z.array(suspicionSchema)}),
	// Host to host: a call to the store for a host that the store does not serve at present.
	z.object({kind: z.literal('store-call'), call: z.string(), work: storeWorkSchema}),
	z.object({kind: z.literal('store-answer'), call: z.string(), answer: storeAnswerSchema}),
	// Host to host: slots of an endpoint, from who wants them to the endpoint's home and back.
	z.object({kind: z.literal('slot-demand'), demand: slotDemandSchema}),
	z.object({kind: z.literal('slot-ration'), ration: slotRationSchema}),
	/** What the sender has, so that the receiver can see a gap and send what is missing. */
	z.object({kind: z.literal('digest'), configurationVersion: countSchema}),
]);

/** Any message of the link. */
export type Message = z.infer<typeof messageKindsSchema>;

export type MessageKind = Message['kind'];

/** The message of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, {kind: Kind}>;

const knownKinds: ReadonlySet<string> = new Set(messageKindsSchema.options.map(option => option.shape.kind.value));

/** Whether this version of the protocol knows a kind of message. */
export function isMessageKind(kind: string): kind is MessageKind {
	return knownKinds.has(kind);
}

/**
 * Parts after which an entry acknowledges at the latest, and always after `finished`.
 * A quarter of the window of an answer, so that a stream is never held up by it.
 */
export const acknowledgeEvery = 16;
