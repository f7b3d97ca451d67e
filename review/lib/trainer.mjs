/**
 * A trainer: writes the configuration of the site, submits a batch, reads its results and ends it.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {send, wait} from './deployment.mjs';

export const host = 'ficu95.example';
export const firstModel = 'daka510000';
export const modelService = 'huvo11a';
export const plainService = 'wuno96b';

/** Time in which an item may not be given up, in seconds. */
export const itemTtlS = 40;

/** Failed attempts after which an item may be given up. */
export const maxAttempts = 3;

/** Largest body that a requester may send, in bytes. */
export const maxBodyBytes = 33_554_432;

const drawId = () => randomBytes(8).toString('hex');

/** A route for the batches of a trainer. */
export function makeRolloutRoute(name, pathPrefix) {
	return {
		name, host, pathPrefix, type: 'rollout', timeoutMs: 10_000, goalMs: 400, priority: 0, service: modelService, maxAttempts, dueMs: 7500, itemTtlS, sticky: true,
	};
}

/** The configuration: a route for rollouts, one for the calls that score them, and one for requesters. */
export function makeConfiguration(version, {routes: moreRoutes, services: moreServices = [], models = [firstModel]} = {}) {
	const routes = {
		rollouts: makeRolloutRoute('r-rollout', '/pule252/'),
		scores: {
			name: 'r-score', host, pathPrefix: '/pufi791/', type: 'idempotent', timeoutMs: 3000, goalMs: 800, priority: 2, service: plainService, maxAttempts: 4,
		},
		requests: {
			name: 'r-post', host, pathPrefix: '/lohu930/', type: 'idempotent', timeoutMs: 800, goalMs: 150, priority: 2, service: plainService, maxAttempts: 2,
		},
		...moreRoutes,
	};
	return {
		version,
		routes: Object.values(routes),
		services: [
			{
				name: modelService, healthPath: '/healthz', maxConns: 140, protocol: 'h1', tls: false, engine: {
					slots: 8, kvCapacity: 39_998, kvTokenBytes: 163_840, linkMbps: 4_400_000, moves: true, backups: true, stride: 58, most: 12, pinMs: 4000, holdMs: 2000,
					models: models.map(name => ({name})),
				},
			},
			{
				name: plainService, healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false,
			},
			...moreServices,
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/** Makes the items of one step: groups of four that share a prompt, each with a call that scores it. */
export function makeItems(groups, {size = 4, prefix = '/pule252/', model = firstModel} = {}) {
	return Array.from({length: groups * size}, (_, i) => {
		const group = Math.floor(i / size);
		return {
			id: drawId(),
			path: `${prefix}3/${drawId().slice(0, 4)}`,
			headers: {'X-Wasabiusher-Model': model, 'X-Wasabiusher-Token-Count': '271,64', 'X-Wasabiusher-Prompt-Prefix': `9c2e${group}:255,${drawId().slice(0, 6)}:16`},
			body: randomBytes(600).toString('base64'),
			tokenCount: 335,
			groupId: `g${group}`,
			scorerUrl: {
				id: drawId(), host, path: `/pufi791/${drawId().slice(0, 4)}`, body: randomBytes(60).toString('base64'),
			},
		};
	});
}

/** One batch of a trainer, seen through the answers that the trainer gets. */
export class Batch {
	id = drawId();
	results = [];
	total = 0;

	constructor(deployment, items, {
		step = 0, minVersion = 0, prefix = '/pule252/', model = firstModel, desiredCount,
	} = {}) {
		Object.assign(this, {
			deployment, items, step, minVersion, prefix, model, desiredCount: desiredCount ?? new Set(items.map(({groupId}) => groupId)).size,
		});
	}

	/** The body of the submission. */
	get body() {
		return JSON.stringify({
			step: this.step, model: this.model, minVersion: this.minVersion, desiredCount: this.desiredCount, requests: this.items,
		});
	}

	get bytes() {
		return Buffer.byteLength(this.body);
	}

	/** Submits until a machine answers 202. */
	async submit(gateways) {
		const {body} = this;
		for (let i = 0; i < 40; i += 1) {
			const gateway = gateways[i % gateways.length];
			// A trainer submits again after each answer but 202.
			// eslint-disable-next-line no-await-in-loop
			const {status} = await send(gateway.callers, {
				method: 'POST', path: `${this.prefix}${this.id.slice(0, 6)}`, headers: {host, 'content-type': 'application/json', 'x-wasabiusher-attempt-id': this.id}, body, timeoutMs: 5000,
			});
			this.deployment.record(`trainer submits ${this.id} with ${this.items.length} items to ${gateway.name}: ${status}`);
			if (status === 202) {
				this.acceptedAt = performance.now();
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(200);
		}

		throw new Error('the batch was not accepted');
	}

	/** Reads what is new at one machine; returns the status. */
	async read(gateway) {
		const after = this.results.length;
		const {status, text} = await send(gateway.callers, {path: `/-/lots/${this.id}?after=${after}`, headers: {host, 'x-wasabiusher-wait-ms': '1000'}, timeoutMs: 2500});
		if (status !== 200) {
			this.deployment.record(`trainer reads ${this.id} from ${after} at ${gateway.name}: ${status}`);
			return status;
		}

		const {total, next, results} = JSON.parse(text);
		this.total = total;
		for (const result of results) {
			this.results.push({...result, readMs: performance.now() - this.acceptedAt});
			this.deployment.record(`trainer reads ${this.id} at position ${this.results.length - 1}: ${result.id} ${result.state}, versions ${result.weightVersions}, score ${result.score}`);
		}

		if (results.length > 0) {
			this.deployment.record(`trainer has ${this.results.length} of ${total}, next ${next}`);
		}

		return status;
	}

	get isComplete() {
		return this.total > 0 && this.results.length >= this.total;
	}

	/** Reads about twice a second, at one machine after the other, until all items are listed or the time is up. */
	async readUntil(gateways, untilMs) {
		for (let i = 0; !this.isComplete && performance.now() - this.acceptedAt < untilMs; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await this.read(gateways[i % gateways.length]);
			// eslint-disable-next-line no-await-in-loop
			await wait(400);
		}
	}

	async end(gateway) {
		const {status} = await send(gateway.callers, {method: 'DELETE', path: `/-/lots/${this.id}`, headers: {host}});
		this.deployment.record(`trainer ends ${this.id} at ${gateway.name}: ${status}`);
		return status;
	}
}
