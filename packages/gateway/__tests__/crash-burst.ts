/** Test fixture: gateways that share a store, and endpoints and scorers that crash in bursts and restart under new ids. */
import {Buffer} from 'node:buffer';
import {
	PlatformError, type EndpointTarget, type ServingAnswer, type ServingRequest,
} from '@wasabiusher/backends';
import type {SampleResult, Submission} from '@wasabiusher/batches';
import {MemoryRowStore, MemoryServing, type MemoryEndpoint} from '@wasabiusher/standins';
import {
	createSilentLog, Random, type Deployment, type RegisteredEndpoint, type Route,
} from '@wasabiusher/shared';
import {Gateway, type CatalogFormat} from '../src/index.js';

/** Time from a crash to the restart, and to the removal of the registration, in milliseconds. */
const restartMs = 250;
const lapseMs = 3600;

const slots = 4;

function createRoute(changes: Partial<Route>): Route {
	return {
		name: 'steps', host: 'h', prefix: '/steps/', kind: 'batch', isResumable: true, timeoutMs: 10_000, objectiveMs: 400, priority: 0, targets: [{service: 's', weight: 1}],
		maxAttempts: 3, sampleTtlMs: 60_000, isSingleVersion: false, isOpen: true, ...changes,
	};
}

const deployment: Deployment = {
	version: 1,
	routes: [createRoute({}), createRoute({
		name: 'scores', prefix: '/scores/', kind: 'idempotent', timeoutMs: 3000, targets: [{service: 'scorer', weight: 1}],
	})],
	services: [],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

const format: CatalogFormat = {
	operatorTable: 'op',
	endpointTable: 'servers',
	decodeOperatorRow: () => ({kind: 'deployment', deployment}),
	decodeEndpoint: (_, value) => JSON.parse(Buffer.from(value).toString()) as RegisteredEndpoint,
};

/** A step of `count` items, each with a call for its score. */
export function createSubmission(count: number): Submission {
	return {
		host: 'h', path: '/steps/x', model: undefined, leastVersion: 1, wantedGroups: count,
		samples: Array.from({length: count}, (_, i) => ({
			id: `s${i}`, path: `/steps/s${i}`, headers: {}, body: 'AAAA', group: `g${i}`, score: {
				id: `c${i}`, host: 'h', path: `/scores/c${i}`, body: 'AAAA',
			},
		})),
	};
}

/** Endpoints whose crash also leaves the calls in flight without an answer. */
class CrashingServing extends MemoryServing {
	override async call(target: EndpointTarget, request: ServingRequest, signal: AbortSignal): Promise<ServingAnswer> {
		const endpoint = this.endpoints.get(target.address);
		const answer = await super.call(target, request, signal);
		if (endpoint?.switches.isDown) {
			throw new PlatformError('unknown', 'the connection was closed');
		}

		return answer;
	}
}

/** Gateways, two endpoints and two scorers. */
export class CrashBurst {
	readonly serving = new CrashingServing();
	readonly root = new MemoryRowStore();
	readonly #endpoints = new Map<string, MemoryEndpoint>();
	readonly #gateways = new Map<string, Gateway>();
	#starts = 0;

	async start(): Promise<void> {
		await this.#put('op', 'config', {});
		for (const address of ['e0', 'e1', 'k0', 'k1']) {
			// eslint-disable-next-line no-await-in-loop
			await this.#startEndpoint(address);
		}
	}

	startGateway(host: string): Gateway {
		const store = this.root.createView();
		const gateway = new Gateway({
			host, rows: store, blobs: store, client: this.serving, format, random: new Random(1), log: createSilentLog(), leaseMs: 3000, statusMs: 60_000,
		});
		gateway.start();
		this.#gateways.set(host, gateway);
		return gateway;
	}

	/** Ends a gateway without a handover. */
	killGateway(host: string): void {
		this.#gateways.get(host)?.stop();
		this.#gateways.delete(host);
	}

	/** Ends the endpoints of a service whose addresses begin with `prefix`, and starts them again shortly after. */
	crash(prefix: string): void {
		for (const [address, endpoint] of this.#endpoints) {
			if (address.startsWith(prefix) && !endpoint.switches.isDown) {
				endpoint.switches.isDown = true;
				setTimeout(() => {
					void this.#startEndpoint(address);
				}, restartMs);
				setTimeout(() => {
					void this.#put('servers', endpoint.id, undefined);
				}, lapseMs);
			}
		}
	}

	/** Lists the results that a gateway has of a batch. */
	async read(host: string, batch: string): Promise<readonly SampleResult[]> {
		const {results} = await this.#gateways.get(host)!.batches.read(batch, 0, 0);
		return results;
	}

	stop(): void {
		for (const gateway of this.#gateways.values()) {
			gateway.stop();
		}
	}

	async #startEndpoint(address: string): Promise<void> {
		this.#starts += 1;
		const id = `${address}-${this.#starts}`;
		const endpoint = this.serving.add(address, id);
		Object.assign(endpoint.switches, {eventMs: 40, events: 40, callMs: 200});
		this.#endpoints.set(address, endpoint);
		await this.#put('servers', id, {
			id, service: address.startsWith('e') ? 's' : 'scorer', address, dataCentre: 'd', slots, isDraining: false, models: [], orderCount: 0, coldMs: 0, bornMs: this.#starts,
		});
	}

	async #put(table: string, key: string, value: unknown): Promise<void> {
		const address = {table, part: '', key};
		await this.root.commit({
			conditions: [], puts: value === undefined ? [] : [{...address, value: Buffer.from(JSON.stringify(value))}], deletes: value === undefined ? [address] : [],
		});
	}
}
