/**
 * Settings of an executor, and the events that it reports.
 */
import type {Verdict} from '@wasabiusher/decisions';
import type {Message, Refusal} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {Endpoint} from './endpoint-run.js';

/** Events of requests, for metrics. */
export type ExecutorEvent
	= | {kind: 'refused'; reason: Refusal}
		| {kind: 'started'; waitMs: number}
		| {kind: 'ended'; outcome: 'finished' | 'stopped' | 'failed' | 'crashed'; runMs: number};

export type ExecutorSettings = {
	service: string;
	endpoint: Endpoint;
	/** Maximum number of concurrent requests. */
	limit: number;
	/** Maximum number of waiting requests. */
	maxWaiting: number;
	log: Log;
	/** Sends a message to the named entry. Returns false if the entry has no link. */
	send(peer: string, message: Message): boolean;
	/** Returns how a request with this fingerprint may run; without it, all may run freely. */
	judge?(fingerprint: string): Verdict['kind'];
	/** Called when a stream broke off. Resolves to whether the endpoint has crashed, and has called `crash` in that case. */
	checkCrash?(): Promise<boolean>;
	/** Called when a request with this fingerprint has finished. */
	onFinished?(fingerprint: string): void;
	observe?(event: ExecutorEvent): void;
};
