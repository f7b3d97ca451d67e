/** Test fixture: hosts that share a store, and endpoints that crash when they run one path, then restart. */
import {Buffer} from 'node:buffer';
import {hostTable} from '@wasabiusher/batches';
import {
	PlatformError, type EndpointTarget, type RunEvent, type ServingAnswer, type ServingRequest, type ServingRun,
} from '@wasabiusher/backends';
import {
	DirectCall, EndpointDirectory, SampleRun, WeightOrders, type CallerRequest, type CallOutcome, type SampleOutcome,
} from '@wasabiusher/direct';
import {TableFollower} from '@wasabiusher/record';
import {
	createSilentLog, Random, type RegisteredEndpoint, type Route,
} from '@wasabiusher/shared';
import {MemoryRowStore, MemoryServing} from '@wasabiusher/standins';
import {Catalog} from '../src/catalog.js';
import {poisonRequestPart, PoisonRequests} from '../src/poison-requests.js';

/** Time from the begin of a run to its crash, and of any other run to its answer, in milliseconds. */
const crashMs = 60;
const workMs = 20;

/** Number of events of a text. */
const textEvents = 200;

export type FleetSettings = {
	hosts: number;
	endpoints: number;
	/**
	 * - `reset`: connections of a crashed endpoint are closed
	 * - `silent`: runs at a crashed endpoint get no answer
	 */
	crash: 'reset' | 'silent';
	/** Time from a crash to the removal of the registration, and to the restart, in milliseconds. */
	removedMs: number;
	restartMs: number;
	/** Whether an endpoint restarts under its id, so that its registration is replaced and never removed. */
	keepsId: boolean;
	/** Share of the requests that endpoints answer with status 500 without running them. */
	failureShare: number;
	seed: number;
};

type Endpoint = {registration: RegisteredEndpoint; isUp: boolean};

export type FleetHost = {store: MemoryRowStore; directory: EndpointDirectory; poisonRequests: PoisonRequests; catalog: Catalog; follower: TableFollower};

export function createPoisonRoute(changes: Partial<Route> = {}): Route {
	return {
		name: 'r', host: 'h', prefix: '/', kind: 'idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 1000, priority: 0,
		targets: [{service: 's', weight: 1}], maxAttempts: 2, sampleTtlMs: 40_000, isSingleVersion: false, isOpen: false, ...changes,
	};
}

export function createPoisonRequest(path: string, changes: Partial<CallerRequest> = {}): CallerRequest {
	return {
		method: 'POST', path, host: 'h', headers: {}, body: Buffer.from('b'), attemptId: 'r1', deadlineAt: performance.now() + 800, ...changes,
	};
}

/** Hosts, endpoints and the runs of the poison request. */
export class CrashFleet extends MemoryServing {
	readonly hosts: FleetHost[] = [];
	/** Begin of each run of the poison request, and each crash, on the monotonic clock. */
	readonly runs: number[] = [];
	readonly crashes: number[] = [];
	readonly root = new MemoryRowStore();
	readonly #settings: FleetSettings;
	readonly #random: Random;
	readonly #endpoints: Endpoint[];
	#startCount = 0;
	#hostStarts = 0;

	constructor(settings: Partial<FleetSettings> = {}) {
		super();
		this.#settings = {
			hosts: 4, endpoints: 4, crash: 'reset', removedMs: 2700, restartMs: 3200, keepsId: false, failureShare: 0, seed: 1, ...settings,
		};
		this.#random = new Random(this.#settings.seed);
		this.#endpoints = Array.from({length: this.#settings.endpoints}, (_, i) => ({registration: this.#createRegistration(`e${i}`, `a${i}`), isUp: true}));
		for (let i = 0; i < this.#settings.hosts; i += 1) {
			this.startHost(i);
		}
	}

	/** Starts a host, or starts it again without what it had in memory. */
	startHost(i: number): FleetHost {
		this.#hostStarts += 1;
		const store = this.hosts[i]?.store ?? this.root.createView();
		this.hosts[i]?.follower.stop();
		const directory = new EndpointDirectory(new Random(this.#settings.seed + i));
		const log = createSilentLog();
		const poisonRequests = new PoisonRequests({
			rows: store,
			table: hostTable,
			host: `h${i}`,
			writer: `h${i}-${this.#hostStarts}`,
			log,
			listHosts: () => this.hosts.map((_, other) => `h${other}`),
			hasOpenRuns: endpoint => directory.countOpen(endpoint) > 0,
			readStoreMs: () => performance.now(),
			checkEndpoint: async ({endpoint}) => this.#endpoints.some(({registration: {id}, isUp}) => isUp && id === endpoint) ? 'up' : 'down',
		});
		const orders = new WeightOrders({
			directory, client: this, lease: {fence: 1, holds: () => false}, holder: 'a', log, chooseMode: () => 'continue',
		});
		const catalog = new Catalog({
			directory, orders, log, format: {
				operatorTable: 'op',
				endpointTable: 'servers',
				decodeOperatorRow: () => ({kind: 'other'}),
				decodeEndpoint: (_, value) => JSON.parse(Buffer.from(value).toString()) as RegisteredEndpoint,
			},
			onDown(incarnation) {
				poisonRequests.recordDown(incarnation);
			},
			onRemoved(incarnation) {
				poisonRequests.recordRemoved(incarnation);
			},
		});
		const follower = new TableFollower({
			store, table: hostTable, parts: [poisonRequestPart], log, apply(change) {
				poisonRequests.apply(change);
			},
		});
		void follower.run();
		const host = {
			store, directory, poisonRequests, catalog, follower,
		};
		this.hosts[i] = host;
		for (const {registration, isUp} of this.#endpoints) {
			if (isUp) {
				register(host, registration.id, registration);
			}
		}

		return host;
	}

	/** Sends a request through a host, by default a ready one at random. */
	async send(request: CallerRequest, host = this.#random.pick(this.hosts.filter(({follower}) => follower.isSynced)), route = createPoisonRoute()): Promise<CallOutcome> {
		const {directory, poisonRequests} = host;
		return new DirectCall({
			directory, client: this, random: this.#random, log: createSilentLog(), poisonRequests,
		}, route, request, new AbortController().signal).run();
	}

	/** Number of runs of the poison request that began later than `graceMs` after it had crashed its third endpoint, and after `from` on the monotonic clock. */
	countLateRuns(from: number, graceMs: number): number {
		const third = this.crashes[2];
		return third === undefined ? 0 : this.runs.filter(at => at > Math.max(third, from) + graceMs).length;
	}

	/** Number of runs of the poison request that began from `from` to `to` after the first one, in milliseconds. */
	countRunsBetween(from: number, to: number): number {
		const [first = 0] = this.runs;
		return this.runs.filter(at => at - first >= from && at - first < to).length;
	}

	stop(): void {
		for (const {follower} of this.hosts) {
			follower.stop();
		}
	}

	/** Generates a text through a host; the path `/bad` crashes its endpoints. */
	async generate(path: string, host: FleetHost): Promise<SampleOutcome> {
		const {directory} = host;
		return new SampleRun({
			directory, client: this, log: createSilentLog(), findRoute: () => createPoisonRoute({kind: 'batch'}), chance: () => 0,
		}, {
			id: path, model: undefined, minWeightVersion: 1, isSingleVersion: false, group: 'g', deadlineAt: performance.now() + 20_000,
			request: {
				method: 'POST', path, host: 'h', headers: {}, body: new Uint8Array(),
			},
		}, new AbortController().signal).run();
	}

	override async run(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingRun> {
		const {body, ...head} = await this.call(target, request, signal);
		return {...head, weightVersion: 1, events: this.#makeEvents(target, request)};
	}

	override async call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer> {
		const endpoint = this.#endpoints.find(({registration: {address}}) => address === target.address);
		if (!endpoint?.isUp) {
			throw new PlatformError('unavailable', 'the connection was refused');
		}

		const head = {
			headers: {}, isNotRun: false, stamp: 's', load: undefined, weightVersion: undefined, isFramed: true, isClosing: false, body: new Uint8Array(),
		};
		if (endpoint.registration.id !== target.id) {
			return {...head, status: 421, isNotRun: true};
		}

		if (this.#random.next() < this.#settings.failureShare) {
			return {...head, status: 500};
		}

		const isPoison = request.path === '/bad';
		if (isPoison) {
			this.runs.push(performance.now());
		}

		const neededMs = isPoison ? crashMs : workMs;
		await pause(Math.min(neededMs, request.remainingMs), signal);
		if (signal.aborted) {
			throw new PlatformError('unknown', 'the call was aborted');
		}

		if (request.remainingMs < neededMs) {
			return {...head, status: 504};
		}

		if (!isPoison) {
			return {...head, status: 200};
		}

		this.#crash(endpoint);
		if (this.#settings.crash === 'silent') {
			await waitForAbort(signal);
		}

		throw new PlatformError('unknown', 'the connection was closed');
	}

	async * #makeEvents(target: EndpointTarget, {resumeAfter = 0}: ServingRequest): AsyncIterable<RunEvent> {
		const endpoint = this.#endpoints.find(({registration: {id}}) => id === target.id);
		for (let id = resumeAfter + 1; id <= textEvents; id += 1) {
			// eslint-disable-next-line no-await-in-loop
			await pause(workMs, new AbortController().signal);
			if (!endpoint?.isUp || endpoint.registration.id !== target.id) {
				throw new PlatformError('unknown', 'the run was interrupted');
			}

			yield {id, data: `${id}`, version: 1};
		}
	}

	#crash(endpoint: Endpoint): void {
		if (!endpoint.isUp) {
			return;
		}

		const {removedMs, restartMs, keepsId} = this.#settings;
		const {id, address} = endpoint.registration;
		this.crashes.push(performance.now());
		endpoint.isUp = false;
		if (!keepsId) {
			setTimeout(() => {
				this.#registerAtAll(id);
			}, removedMs);
		}

		setTimeout(() => {
			endpoint.registration = this.#createRegistration(keepsId ? id : `${address}-${this.#startCount}`, address);
			endpoint.isUp = true;
			this.#registerAtAll(endpoint.registration.id, endpoint.registration);
		}, restartMs);
	}

	#registerAtAll(id: string, registration?: RegisteredEndpoint): void {
		for (const host of this.hosts) {
			register(host, id, registration);
		}
	}

	#createRegistration(id: string, address: string): RegisteredEndpoint {
		this.#startCount += 1;
		return {
			id, service: 's', address, dataCentre: 'd', slots: 4, isDraining: false, models: [], orderCount: 0, coldMs: 0, bornMs: this.#startCount,
		};
	}
}

function register({catalog}: FleetHost, id: string, registration?: RegisteredEndpoint): void {
	catalog.applyEndpoint({
		table: 'servers', part: '', key: id, version: 1, value: registration && Buffer.from(JSON.stringify(registration)),
	});
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
	await Promise.race([waitForAbort(signal), new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	})]);
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (!signal.aborted) {
		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}
}
