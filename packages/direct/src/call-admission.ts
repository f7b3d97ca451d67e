/**
 * The turn of one call in the line of its host: it waits shortly for a slot, or is refused at once.
 *
 * Load pattern: a burst meets endpoints that let a few requests wait and refuse the rest. Sent on as it comes, it fills their queues with what is late in
 * any case, and others find no place; and endpoints that have refused are left alone for a moment, with slots that become free. A call waits here for a part
 * of its time and is refused then, while it can still be served elsewhere. A score, which nobody else would make, is offered all the same.
 */
import type {WorkKind} from '@wasabiusher/slots';
import type {RegisteredEndpoint, Route} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointLine} from './endpoint-queue.js';

/** Part of its objective for which a call waits: one that is refused within a quarter can still be served elsewhere in time. */
const maxWaitRatio = 0.2;

/** Part of its objective after which a call that comes back is due: sooner than newcomers. */
const returnDueRatio = 0.5;

/** How a request waits, where that differs from a caller's. */
export type CallPlace = {
	kind: WorkKind;
	urgency: number;
	turn: string;
	/** When it should be done, on the monotonic clock. */
	dueAt: number;
	rank?: number;
	/** How long it waits for a slot before it is offered to any endpoint, in milliseconds; a caller's is refused then. */
	patienceMs: number;
};

export type CallAdmissionSettings = {
	directory: EndpointDirectory;
	/** Where it waits; undefined if it is sent at once. */
	line?: EndpointLine;
};

/** What a call is, for the line. */
export type AdmissionRequest = {attemptId: string; method: string; path: string; customer?: string; deadlineAt: number; place?: CallPlace};

export type AdmissionOutcome = {kind: 'granted'; endpoint: RegisteredEndpoint} | {kind: 'refused'; reason: string; retryAfterMs: number} | {kind: 'none'};

/** The turn of one call. */
export class CallAdmission {
	readonly #settings: CallAdmissionSettings;
	readonly #route: Route;
	readonly #request: AdmissionRequest;
	readonly #service: string;

	constructor(settings: CallAdmissionSettings, route: Route, request: AdmissionRequest, service: string) {
		this.#settings = settings;
		this.#route = route;
		this.#request = request;
		this.#service = service;
	}

	/** Waits for the first endpoint of a call. */
	async wait(signal: AbortSignal): Promise<AdmissionOutcome> {
		const {line} = this.#settings;
		if (!line) {
			return this.#acquireNow();
		}

		const {attemptId, deadlineAt, place} = this.#request;
		const now = performance.now();
		const {patienceMs, ...position} = place ?? this.#findPosition(line, now);
		const answer = await line.wait({
			...position,
			id: attemptId,
			need: {service: this.#service, needsHeadroom: true},
			weight: 1,
			deadlineAt: Math.min(deadlineAt, now + patienceMs),
			workMs: line.findWorkMs(this.#service),
		}, signal);
		if (answer.kind === 'left') {
			return {kind: 'none'};
		}

		const final = answer.kind === 'expired' ? this.#acquireOrRefuse() : answer;
		if (final.kind === 'refused') {
			line.returns.note(this.#returnKey);
		}

		return final;
	}

	/** An endpoint for a further attempt, at once; a caller's needs one that has room. */
	acquire(excluded: ReadonlySet<string>): RegisteredEndpoint | undefined {
		const {directory, line} = this.#settings;
		const withHeadroom = line && directory.acquire({service: this.#service, excluded, needsHeadroom: true});
		return withHeadroom ?? (line && !this.#request.place ? undefined : directory.acquire({service: this.#service, excluded}));
	}

	/** Learns how long an attempt took, in milliseconds. */
	recordWork(workMs: number): void {
		this.#settings.line?.recordWork(this.#service, workMs);
	}

	/** How a caller's request waits; one that was refused here before goes before newcomers, and is not refused again at once. */
	#findPosition(line: EndpointLine, now: number): CallPlace & {isRefusable: boolean} {
		const {objectiveMs, priority, name} = this.#route;
		const isReturning = line.returns.take(this.#returnKey);
		return {
			kind: 'call', urgency: priority, turn: this.#request.customer ?? name, isRefusable: !isReturning, patienceMs: maxWaitRatio * objectiveMs,
			dueAt: now + ((isReturning ? returnDueRatio : 1) * objectiveMs),
		};
	}

	/** Names the request in all attempts of its caller. */
	get #returnKey(): string {
		const {customer, method, path} = this.#request;
		return [customer, method, path].join(' ');
	}

	#acquireNow(): AdmissionOutcome {
		const endpoint = this.acquire(new Set());
		return endpoint ? {kind: 'granted', endpoint} : {kind: 'none'};
	}

	/** What one gets that has waited for all of its time. */
	#acquireOrRefuse(): AdmissionOutcome {
		const {directory} = this.#settings;
		const granted = this.#acquireNow();
		return granted.kind === 'granted' || this.#request.place
			? granted
			: {kind: 'refused', reason: 'no slot became free in time', retryAfterMs: directory.planRetryAfterMs(this.#service)};
	}
}
