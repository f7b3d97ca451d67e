/**
 * What an executor is given, and what it reports.
 */
import type {Verdict} from '@wasabiusher/decisions';
import type {Message, Refusal} from '@wasabiusher/link';
import type {Log} from '@wasabiusher/shared';
import type {Endpoint} from './endpoint-run.js';

/** What an executor reports of each request, for metrics. */
export type ExecutorEvent
	= | {kind: 'refused'; reason: Refusal}
		| {kind: 'started'; waitMs: number}
		| {kind: 'ended'; outcome: 'finished' | 'stopped' | 'failed' | 'crashed'; runMs: number};

export type ExecutorSettings = {
	service: string;
	endpoint: Endpoint;
	/** Requests run at once at the most. */
	limit: number;
	/** Requests waiting at most. */
	maxWaiting: number;
	log: Log;
	/** Sends to an entry by name; false if it has no link at present. */
	send(peer: string, message: Message): boolean;
	/** How a request with this content may run; all may, by default. */
	judge?(fingerprint: string): Verdict['kind'];
	/** Asked when a stream broke off: whether the endpoint has crashed. It calls `crash` by itself. */
	checkCrash?(): Promise<boolean>;
	/** A request with this content was finished. */
	onFinished?(fingerprint: string): void;
	observe?(event: ExecutorEvent): void;
};
