/**
 * Divides the memory and the descriptors of a host between its clients and what the process needs for itself.
 *
 * Load pattern: clients outside the operators' control send many large bodies, or open many connections, at once. What they can occupy is bounded for
 * all together, so that the process stays within its host and still reaches endpoints, the store and other hosts.
 */
import type {BudgetLimits} from '@wasabiusher/daemon';
import {z} from 'zod';

const bytesPerMegabyte = 1_048_576;
const bytesPerKilobyte = 1024;

/** Memory of a process under load beside the bodies of requests: code, heap, buffers of sockets; in megabytes. */
const processMemoryMb = 110;

/** Fraction of the remaining memory that bodies may occupy; the rest is for bytes that are received and not read, and for growth of the heap. */
const bodyFraction = 0.6;

/** Fraction of the memory for bodies that is reserved for small ones. */
const reservedFraction = 0.125;

/** Least memory for bodies, in megabytes, on a host that has hardly more than the process needs. */
const minBodyMemoryMb = 16;

/** Fraction of the JavaScript heap that the documents of batches may take while they are decoded. */
const documentFraction = 0.5;

/** Fraction of the JavaScript heap that the submissions of open batches may take. */
const submissionFraction = 0.25;

/** Descriptors that the platform reserves for files. */
const reservedDescriptors = 200;

/** Fractions of the remaining descriptors for the connections of each server; what is left is for connections to endpoints, the store and hosts. */
const connectionFractions = {
	callers: 0.6, links: 0.15, readiness: 0.05, operators: 0.05,
} as const;

/** Memory of an open connection with its request, in bytes, and the fraction of the memory that connections of callers may take. */
const connectionBytes = 24_576;
const connectionMemoryFraction = 0.2;

/** Memory and descriptors of a host whose settings name none: the smallest host that the programs are meant for, and the usual limit of a process. */
const defaultMemoryMb = 210;
const defaultDescriptors = 2212;

export const clientLimitsSchema = z.strictObject({
	/** Memory for the bodies of all requests, in megabytes. */
	bodyMemoryMb: z.number().positive().optional(),
	/** Largest body that finds room in the reserved part of this memory, in kilobytes. */
	smallBodyKb: z.number().positive().default(64),
	/** Connections of callers that may be open. */
	callerConnections: z.int().positive().optional(),
	/** Requests of one connection that may wait for their answers. */
	pipelinedRequests: z.int().positive().default(4),
});

/** Settings that differ from what follows from the host. */
export type ClientLimitOverrides = z.infer<typeof clientLimitsSchema>;

export type HostResources = {
	/** Memory of the host, in megabytes; undefined if unknown. */
	memoryMb?: number;
	/** Descriptors that the process may open; undefined if unknown. */
	maxDescriptors?: number;
	/** Limit of the JavaScript heap, in bytes. */
	heapBytes: number;
};

/** Limits for the clients of a gateway. */
export type ClientLimits = {
	bodies: BudgetLimits;
	/** Memory that the documents of batches may take while they are decoded, in bytes. */
	documentBytes: number;
	/** Memory that the submissions of open batches may take, in bytes. */
	submissionBytes: number;
	/** Connections of each server. */
	maxConnections: Record<keyof typeof connectionFractions, number>;
	maxPipelined: number;
};

/** Plans the limits for the clients of a host. */
export function planClientLimits({memoryMb = defaultMemoryMb, maxDescriptors = defaultDescriptors, heapBytes}: HostResources, overrides: ClientLimitOverrides): ClientLimits {
	const bodyMemoryMb = overrides.bodyMemoryMb ?? Math.max(minBodyMemoryMb, (memoryMb - processMemoryMb) * bodyFraction);
	const totalBytes = Math.round(bodyMemoryMb * bytesPerMegabyte);
	const sockets = Math.max(1, maxDescriptors - reservedDescriptors);
	const affordable = Math.floor(memoryMb * bytesPerMegabyte * connectionMemoryFraction / connectionBytes);
	const plan = (name: keyof typeof connectionFractions) => Math.max(1, Math.min(affordable, Math.floor(sockets * connectionFractions[name])));
	return {
		bodies: {totalBytes, reservedBytes: Math.round(totalBytes * reservedFraction), smallBytes: Math.round(overrides.smallBodyKb * bytesPerKilobyte)},
		documentBytes: Math.floor(heapBytes * documentFraction),
		submissionBytes: Math.floor(heapBytes * submissionFraction),
		maxConnections: {
			callers: overrides.callerConnections ?? plan('callers'), links: plan('links'), readiness: plan('readiness'), operators: plan('operators'),
		},
		maxPipelined: overrides.pipelinedRequests,
	};
}
