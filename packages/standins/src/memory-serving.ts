/**
 * In-memory stand-ins for directly called endpoints, with the failures that such endpoints document.
 */
import {Buffer} from 'node:buffer';
import {
	PlatformError, type EndpointTarget, type OrderOutcome, type RequestContent, type RunEvent, type ServingAnswer, type ServingClient, type ServingHead, type ServingReport,
	type ServingRequest, type ServingRun, type ServingStream, type WeightOrder,
} from '@wasabiusher/backends';

/** Fault-injection switches and timings, which can be set at any time. */
export type ServingSwitches = {
	/** Refuses connections. */
	isDown: boolean;
	/** Accepts requests and sends nothing, as in a network partition. */
	isDark: boolean;
	/** Refuses each request without running it. */
	isFull: boolean;
	/** Status of the answers; runs send events only with 200. */
	status: number;
	/** Response time of a call, in milliseconds. */
	callMs: number;
	/** Time per event of a run, in milliseconds. */
	eventMs: number;
	/** Number of events of a complete run. */
	events: number;
	/** Number of events after which the next run is interrupted. */
	breakAfter: number | undefined;
	/** Number of the next answers without a content length. A run among them ends early as if it were complete. */
	unframed: number;
	/** Number of the next calls that run and whose answer is lost. */
	answersToLose: number;
	/** Number of the next orders that get no answer and are executed after `lateMs` if their condition holds then. */
	ordersToDelay: number;
	/** Delay of delayed orders, in milliseconds. */
	lateMs: number;
	/** Time to load weights, in milliseconds. */
	loadMs: number;
	/** Age of the state in a report, in milliseconds. */
	reportLagMs: number;
};

/** A request that an endpoint began to run. */
export type ServingRecord = {attemptId: string; resumeAfter: number | undefined; urgency: number | undefined; customer: string | undefined; version: number};

/** An in-memory endpoint. */
export class MemoryEndpoint {
	readonly switches: ServingSwitches = {
		isDown: false, isDark: false, isFull: false, status: 200, callMs: 10, eventMs: 10, events: 5, breakAfter: undefined, unframed: 0, answersToLose: 0, ordersToDelay: 0,
		lateMs: 3000, loadMs: 900, reportLagMs: 0,
	};

	/** Requests that began to run, in order. */
	readonly runs: ServingRecord[] = [];
	readonly orders: WeightOrder[] = [];
	readonly id: string;
	/** Version of the model `m`, which executes all runs. */
	version = 1;
	orderCount = 0;
	isBusy = false;
	/** Start time in reports; undefined if reports leave it out. */
	bornMs: number | undefined;
	/** Loaded versions of models other than `m`. */
	readonly #otherVersions = new Map<string, number>();
	/** Reports as of each state change, oldest first. */
	readonly #reports: Array<{madeAt: number; report: ServingReport}> = [];

	constructor(id: string) {
		this.id = id;
	}

	/** Returns the report of the state as of `reportLagMs` ago. */
	report(): ServingReport {
		const visibleUntil = performance.now() - this.switches.reportLagMs;
		const current = this.#describe();
		return this.switches.reportLagMs === 0 ? current : this.#reports.findLast(({madeAt}) => madeAt <= visibleUntil)?.report ?? {...current, isBusy: false, orderCount: 0};
	}

	/** Executes an order if its condition holds. */
	execute(order: WeightOrder): OrderOutcome {
		this.orders.push(order);
		if (this.isBusy || order.expectedOrders !== this.orderCount) {
			return 'changed';
		}

		if (order.version === this.#findVersion(order.model)) {
			return 'holds';
		}

		this.orderCount += 1;
		this.isBusy = true;
		this.#recordReport();
		setTimeout(() => {
			this.isBusy = false;
			this.#setVersion(order);
			this.#recordReport();
		}, this.switches.loadMs);
		return 'accepted';
	}

	#recordReport(): void {
		this.#reports.push({madeAt: performance.now(), report: this.#describe()});
	}

	#describe(): ServingReport {
		const models = ['m', ...this.#otherVersions.keys()].map(model => ({model, version: this.#findVersion(model)}));
		return {
			models, isBusy: this.isBusy, orderCount: this.orderCount, ...(this.bornMs === undefined ? {} : {bornMs: this.bornMs}),
		};
	}

	#findVersion(model: string): number {
		return model === 'm' ? this.version : this.#otherVersions.get(model) ?? 1;
	}

	#setVersion({model, version}: WeightOrder): void {
		if (model === 'm') {
			this.version = version;
		} else {
			this.#otherVersions.set(model, version);
		}
	}
}

/** Client of in-memory endpoints, which it finds by address. */
export class MemoryServing implements ServingClient {
	readonly endpoints = new Map<string, MemoryEndpoint>();

	/** Adds an endpoint and returns it. */
	add(address: string, id: string): MemoryEndpoint {
		const endpoint = new MemoryEndpoint(id);
		this.endpoints.set(address, endpoint);
		return endpoint;
	}

	async call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer> {
		const endpoint = this.#connect(target);
		const refusal = createRefusal(endpoint, target);
		if (refusal) {
			return {...refusal, body: new Uint8Array()};
		}

		recordRun(endpoint, request);
		await waitOrAbort(endpoint.switches.callMs, signal);
		if (endpoint.switches.answersToLose > 0) {
			endpoint.switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return {...createHead(endpoint, endpoint.switches.status), stamp: `${endpoint.id}/${request.attemptId}`, body: joinContent(request.body)};
	}

	async open(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingStream> {
		const {body, ...head} = await this.call(target, request, signal);
		return {...head, body: streamOnce(body)};
	}

	async run(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingRun> {
		const endpoint = this.#connect(target);
		const refusal = createRefusal(endpoint, target);
		if (refusal) {
			return {...refusal, events: streamNothing()};
		}

		await waitWhileDark(endpoint, signal);
		recordRun(endpoint, request);
		const {status} = endpoint.switches;
		const head = {...createHead(endpoint, status), weightVersion: endpoint.version};
		const lastEvent = endpoint.switches.unframed > 0 ? Math.floor(endpoint.switches.events / 2) : endpoint.switches.events;
		endpoint.switches.unframed = Math.max(0, endpoint.switches.unframed - 1);
		return {...head, events: status === 200 ? generate(endpoint, request, signal, lastEvent) : streamNothing()};
	}

	async report(target: EndpointTarget): Promise<ServingReport> {
		return this.#connect(target).report();
	}

	async order(target: EndpointTarget, order: WeightOrder): Promise<OrderOutcome> {
		const endpoint = this.#connect(target);
		if (endpoint.id !== target.id) {
			return 'misdirected';
		}

		if (endpoint.switches.ordersToDelay > 0) {
			endpoint.switches.ordersToDelay -= 1;
			setTimeout(() => {
				endpoint.execute(order);
			}, endpoint.switches.lateMs);
			throw new PlatformError('unknown', 'no answer');
		}

		return endpoint.execute(order);
	}

	async check(target: EndpointTarget): Promise<void> {
		if (this.#connect(target).id !== target.id) {
			throw new PlatformError('unavailable', `another endpoint has the address ${target.address}`);
		}
	}

	#connect({address}: EndpointTarget): MemoryEndpoint {
		const endpoint = this.endpoints.get(address);
		if (!endpoint || endpoint.switches.isDown) {
			throw new PlatformError('unavailable', `cannot connect to ${address}`);
		}

		return endpoint;
	}
}

function createHead({version, switches}: MemoryEndpoint, status: number): ServingHead {
	return {
		status, headers: {}, isNotRun: false, stamp: undefined, load: undefined, weightVersion: version, isFramed: switches.unframed === 0, isClosing: false,
	};
}

function createRefusal(endpoint: MemoryEndpoint, {id}: EndpointTarget): ServingHead | undefined {
	if (endpoint.id !== id) {
		return {...createHead(endpoint, 421), isNotRun: true, weightVersion: undefined};
	}

	return endpoint.switches.isFull || endpoint.isBusy ? {...createHead(endpoint, 503), isNotRun: true} : undefined;
}

function recordRun(endpoint: MemoryEndpoint, {attemptId, resumeAfter, urgency, customer}: ServingRequest): void {
	endpoint.runs.push({
		attemptId, resumeAfter, urgency, customer, version: endpoint.version,
	});
}

async function * generate(endpoint: MemoryEndpoint, {attemptId, resumeAfter = 0}: ServingRequest, signal: AbortSignal, lastEvent: number): AsyncIterable<RunEvent> {
	const {switches} = endpoint;
	for (let id = resumeAfter + 1; id <= lastEvent; id += 1) {
		// The events of a run are sent in sequence.
		// eslint-disable-next-line no-await-in-loop
		await waitOrAbort(switches.eventMs, signal);
		// eslint-disable-next-line no-await-in-loop
		await waitWhileDark(endpoint, signal);
		if (switches.isDown || (switches.breakAfter !== undefined && id > switches.breakAfter)) {
			switches.breakAfter = undefined;
			throw new PlatformError('unknown', 'the run was interrupted');
		}

		yield {id, data: `${attemptId}#${id}`, version: endpoint.version};
	}
}

async function * streamOnce(body: Uint8Array): AsyncIterable<Uint8Array> {
	yield body;
}

async function * streamNothing(): AsyncIterable<never> {
	// A refused run has no events.
}

/** Interval at which a dark endpoint is polled for its recovery, in milliseconds. */
const darkPollMs = 50;

async function waitWhileDark({switches}: MemoryEndpoint, signal: AbortSignal): Promise<void> {
	while (switches.isDark) {
		// eslint-disable-next-line no-await-in-loop
		await waitOrAbort(darkPollMs, signal);
	}
}

async function waitOrAbort(timeMs: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, timeMs);
		signal.addEventListener('abort', finish);
	});
	if (signal.aborted) {
		throw new PlatformError('unknown', 'the call was aborted');
	}
}

function joinContent(content: RequestContent): Uint8Array {
	return content instanceof Uint8Array ? content : Buffer.concat(content);
}
