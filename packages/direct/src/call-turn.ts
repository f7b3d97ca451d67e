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
import type {EndpointLine} from './endpoint-line.js';

/** Part of its objective for which a call waits: one that is refused within a quarter can still be served elsewhere in time. */
const patience = 0.2;

/** Part of its objective after which a call that comes back is due: sooner than newcomers. */
const returnDue = 0.5;

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

export type CallTurnSettings = {
	directory: EndpointDirectory;
	/** Where it waits; undefined if it is sent at once. */
	line?: EndpointLine;
};

/** What a call is, for the line. */
export type TurnRequest = {attemptId: string; method: string; path: string; customer?: string; deadlineAt: number; place?: CallPlace};

export type TurnAnswer = {kind: 'granted'; endpoint: RegisteredEndpoint} | {kind: 'refused'; reason: string; retryAfterMs: number} | {kind: 'none'};

/** The turn of one call. */
export class CallTurn {
	readonly #settings: CallTurnSettings;
	readonly #route: Route;
	readonly #request: TurnRequest;
	readonly #service: string;

	constructor(settings: CallTurnSettings, route: Route, request: TurnRequest, service: string) {
		this.#settings = settings;
		this.#route = route;
		this.#request = request;
		this.#service = service;
	}

	/** Waits for the first endpoint of a call. */
	async wait(signal: AbortSignal): Promise<TurnAnswer> {
		const {line} = this.#settings;
		if (!line) {
			return this.#takeAny();
		}

		const {attemptId, deadlineAt, place} = this.#request;
		const now = performance.now();
		const {patienceMs, ...placed} = place ?? this.#findPlace(line, now);
		const answer = await line.wait({
			...placed,
			id: attemptId,
			need: {service: this.#service, needsRoom: true},
			weight: 1,
			deadlineAt: Math.min(deadlineAt, now + patienceMs),
			workMs: line.findWorkMs(this.#service),
		}, signal);
		if (answer.kind === 'left') {
			return {kind: 'none'};
		}

		const final = answer.kind === 'expired' ? this.#takeLast() : answer;
		if (final.kind === 'refused') {
			line.returns.note(this.#key);
		}

		return final;
	}

	/** An endpoint for a further attempt, at once; a caller's needs one that has room. */
	take(excluded: ReadonlySet<string>): RegisteredEndpoint | undefined {
		const {directory, line} = this.#settings;
		const withRoom = line && directory.take({service: this.#service, excluded, needsRoom: true});
		return withRoom ?? (line && !this.#request.place ? undefined : directory.take({service: this.#service, excluded}));
	}

	/** Learns how long an attempt took, in milliseconds. */
	recordWork(workMs: number): void {
		this.#settings.line?.recordWork(this.#service, workMs);
	}

	/** How a caller's request waits; one that was refused here before goes before newcomers, and is not refused again at once. */
	#findPlace(line: EndpointLine, now: number): CallPlace & {isRefusable: boolean} {
		const {objectiveMs, priority, name} = this.#route;
		const isBack = line.returns.take(this.#key);
		return {
			kind: 'call', urgency: priority, turn: this.#request.customer ?? name, isRefusable: !isBack, patienceMs: patience * objectiveMs,
			dueAt: now + ((isBack ? returnDue : 1) * objectiveMs),
		};
	}

	/** Names the request in all attempts of its caller. */
	get #key(): string {
		const {customer, method, path} = this.#request;
		return [customer, method, path].join(' ');
	}

	#takeAny(): TurnAnswer {
		const endpoint = this.take(new Set());
		return endpoint ? {kind: 'granted', endpoint} : {kind: 'none'};
	}

	/** What one gets that has waited for all of its time. */
	#takeLast(): TurnAnswer {
		const {directory} = this.#settings;
		const last = this.#takeAny();
		return last.kind === 'granted' || this.#request.place
			? last
			: {kind: 'refused', reason: 'no slot became free in time', retryAfterMs: directory.planReturn(this.#service)};
	}
}
