/**
 * Endpoints that are called directly, held in memory, with the failures that such endpoints document.
 */
import {
	PlatformError, type EndpointTarget, type OrderOutcome, type RunEvent, type ServingAnswer, type ServingClient, type ServingHead, type ServingReport,
	type ServingRequest, type ServingRun, type ServingStream, type WeightOrder,
} from '@wasabiusher/backends';

/** Set at any time. */
export type ServingSwitches = {
	/** Can not be connected to. */
	isDown: boolean;
	/** Takes requests and sends nothing from then on, as if it were cut off. */
	isDark: boolean;
	/** Refuses each request as not run. */
	isFull: boolean;
	/** Answers each request with this status of its own; 200 makes it whole. */
	status: number;
	/** Time until a call is answered, in milliseconds. */
	callMs: number;
	/** Time for each event of a run, in milliseconds. */
	eventMs: number;
	/** Events of a whole run. */
	events: number;
	/** Breaks the next run after this many of its events. */
	breakAfter: number | undefined;
	/** How many of the next answers have no length; a run among them ends early as if it were whole. */
	unframed: number;
	/** Loses the answer of the next call, which runs all the same. */
	answersToLose: number;
	/** Orders that are answered by nothing and carried out after `lateMs` if their condition holds then. */
	ordersToDelay: number;
	lateMs: number;
	loadMs: number;
	/** Age of what a report tells, in milliseconds. */
	reportLagMs: number;
};

/** What has happened at an endpoint. */
export type ServingRecord = {attemptId: string; resumeAfter: number | undefined; urgency: number | undefined; customer: string | undefined; version: number};

/** One endpoint. */
export class MemoryEndpoint {
	readonly switches: ServingSwitches = {
		isDown: false, isDark: false, isFull: false, status: 200, callMs: 10, eventMs: 10, events: 5, breakAfter: undefined, unframed: 0, answersToLose: 0, ordersToDelay: 0,
		lateMs: 3000, loadMs: 900, reportLagMs: 0,
	};

	/** Requests that have begun to run. */
	readonly runs: ServingRecord[] = [];
	readonly orders: WeightOrder[] = [];
	readonly id: string;
	/** Version of the model `m`, which makes all runs. */
	version = 1;
	orderCount = 0;
	isBusy = false;
	/** Told in reports; undefined if it does not tell. */
	bornMs: number | undefined;
	/** Versions of other models that it was told to load. */
	readonly #others = new Map<string, number>();
	/** Reports as of the last changes, the newest last. */
	readonly #reports: Array<{madeAt: number; report: ServingReport}> = [];

	constructor(id: string) {
		this.id = id;
	}

	/** What it tells of itself; as old as its lag. */
	report(): ServingReport {
		const seenAt = performance.now() - this.switches.reportLagMs;
		const current = this.#describe();
		return this.switches.reportLagMs === 0 ? current : this.#reports.findLast(({madeAt}) => madeAt <= seenAt)?.report ?? {...current, isBusy: false, orderCount: 0};
	}

	/** Carries out an order if its condition holds. */
	take(order: WeightOrder): OrderOutcome {
		this.orders.push(order);
		if (this.isBusy || order.expectedOrders !== this.orderCount) {
			return 'changed';
		}

		if (order.version === this.#findVersion(order.model)) {
			return 'holds';
		}

		this.orderCount += 1;
		this.isBusy = true;
		this.#noteChange();
		setTimeout(() => {
			this.isBusy = false;
			this.#hold(order);
			this.#noteChange();
		}, this.switches.loadMs);
		return 'accepted';
	}

	#noteChange(): void {
		this.#reports.push({madeAt: performance.now(), report: this.#describe()});
	}

	#describe(): ServingReport {
		const models = ['m', ...this.#others.keys()].map(model => ({model, version: this.#findVersion(model)}));
		return {
			models, isBusy: this.isBusy, orderCount: this.orderCount, ...(this.bornMs === undefined ? {} : {bornMs: this.bornMs}),
		};
	}

	#findVersion(model: string): number {
		return model === 'm' ? this.version : this.#others.get(model) ?? 1;
	}

	#hold({model, version}: WeightOrder): void {
		if (model === 'm') {
			this.version = version;
		} else {
			this.#others.set(model, version);
		}
	}
}

/** Calls to endpoints in memory, found by their address. */
export class MemoryServing implements ServingClient {
	readonly endpoints = new Map<string, MemoryEndpoint>();

	/** Adds an endpoint at an address. */
	add(address: string, id: string): MemoryEndpoint {
		const endpoint = new MemoryEndpoint(id);
		this.endpoints.set(address, endpoint);
		return endpoint;
	}

	async call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer> {
		const endpoint = this.#reach(target);
		const refusal = refuse(endpoint, target);
		if (refusal) {
			return {...refusal, body: new Uint8Array()};
		}

		note(endpoint, request);
		await waitOrAbort(endpoint.switches.callMs, signal);
		if (endpoint.switches.answersToLose > 0) {
			endpoint.switches.answersToLose -= 1;
			throw new PlatformError('unknown', 'the answer was lost');
		}

		return {...createHead(endpoint, endpoint.switches.status), stamp: `${endpoint.id}/${request.attemptId}`, body: request.body};
	}

	async open(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingStream> {
		const {body, ...head} = await this.call(target, request, signal);
		return {...head, body: streamOnce(body)};
	}

	async run(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingRun> {
		const endpoint = this.#reach(target);
		const refusal = refuse(endpoint, target);
		if (refusal) {
			return {...refusal, events: streamNothing()};
		}

		await waitWhileDark(endpoint, signal);
		note(endpoint, request);
		const {status} = endpoint.switches;
		const head = {...createHead(endpoint, status), weightVersion: endpoint.version};
		const lastEvent = endpoint.switches.unframed > 0 ? Math.floor(endpoint.switches.events / 2) : endpoint.switches.events;
		endpoint.switches.unframed = Math.max(0, endpoint.switches.unframed - 1);
		return {...head, events: status === 200 ? generate(endpoint, request, signal, lastEvent) : streamNothing()};
	}

	async report(target: EndpointTarget): Promise<ServingReport> {
		return this.#reach(target).report();
	}

	async order(target: EndpointTarget, order: WeightOrder): Promise<OrderOutcome> {
		const endpoint = this.#reach(target);
		if (endpoint.id !== target.id) {
			return 'misdirected';
		}

		if (endpoint.switches.ordersToDelay > 0) {
			endpoint.switches.ordersToDelay -= 1;
			setTimeout(() => {
				endpoint.take(order);
			}, endpoint.switches.lateMs);
			throw new PlatformError('unknown', 'no answer');
		}

		return endpoint.take(order);
	}

	#reach({address}: EndpointTarget): MemoryEndpoint {
		const endpoint = this.endpoints.get(address);
		if (!endpoint || endpoint.switches.isDown) {
			throw new PlatformError('unavailable', `${address} can not be connected to`);
		}

		return endpoint;
	}
}

function createHead({version, switches}: MemoryEndpoint, status: number): ServingHead {
	return {
		status, headers: {}, isNotRun: false, stamp: undefined, load: undefined, weightVersion: version, isFramed: switches.unframed === 0, isClosing: false,
	};
}

function refuse(endpoint: MemoryEndpoint, {id}: EndpointTarget): ServingHead | undefined {
	if (endpoint.id !== id) {
		return {...createHead(endpoint, 421), isNotRun: true, weightVersion: undefined};
	}

	return endpoint.switches.isFull || endpoint.isBusy ? {...createHead(endpoint, 503), isNotRun: true} : undefined;
}

function note(endpoint: MemoryEndpoint, {attemptId, resumeAfter, urgency, customer}: ServingRequest): void {
	endpoint.runs.push({
		attemptId, resumeAfter, urgency, customer, version: endpoint.version,
	});
}

async function * generate(endpoint: MemoryEndpoint, {attemptId, resumeAfter = 0}: ServingRequest, signal: AbortSignal, lastEvent: number): AsyncIterable<RunEvent> {
	const {switches} = endpoint;
	for (let id = resumeAfter + 1; id <= lastEvent; id += 1) {
		// Events come one after the other.
		// eslint-disable-next-line no-await-in-loop
		await waitOrAbort(switches.eventMs, signal);
		// eslint-disable-next-line no-await-in-loop
		await waitWhileDark(endpoint, signal);
		if (switches.isDown || (switches.breakAfter !== undefined && id > switches.breakAfter)) {
			switches.breakAfter = undefined;
			throw new PlatformError('unknown', 'the run broke off');
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

/** Time between looks whether an endpoint is dark still, in milliseconds. */
const darkLookMs = 50;

async function waitWhileDark({switches}: MemoryEndpoint, signal: AbortSignal): Promise<void> {
	while (switches.isDark) {
		// eslint-disable-next-line no-await-in-loop
		await waitOrAbort(darkLookMs, signal);
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
		throw new PlatformError('unknown', 'the call was given up');
	}
}
