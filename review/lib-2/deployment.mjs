/**
 * A small deployment: the store, gateways as processes, model servers and plain servers. Writes what happens to `record.txt`.
 */
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {GatewayProcess} from './gateways.mjs';
import {Server} from './servers.mjs';
import {Store} from './store.mjs';
import {host, model, Trainer} from './trainer.mjs';

export const modelService = 'huvo11a';
export const plainService = 'wuno96b';
const zones = ['tomakomai', 'muroran', 'ishikari'];

/** The configuration of the deployment, with changes to the route of batches. */
export function makeConfiguration(version, batchRoute = {}) {
	return {
		version,
		routes: [
			{
				name: 'r-batch', host, pathPrefix: '/pule252/', type: 'rollout', timeoutMs: 10_000,
				goalMs: 400, dueMs: 7500, itemTtlS: 60, priority: 0, service: modelService, maxAttempts: 3, ...batchRoute,
			},
			{
				name: 'r-score', host, pathPrefix: '/pufi791/', type: 'idempotent', timeoutMs: 3000, goalMs: 800, priority: 2, service: plainService, maxAttempts: 4,
			},
		],
		services: [
			...[modelService, 'huvo22b'].map(name => ({
				name, healthPath: '/healthz', maxConns: 140, engine: {models: [{name: model}]},
			})),
			{name: plainService, healthPath: '/healthz', maxConns: 110},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

export class Deployment {
	/** @param folder - folder of the case, in which `record.txt` is written */
	constructor(folder) {
		this.recordFile = path.join(folder, 'record.txt');
		writeFileSync(this.recordFile, '');
		this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
		this.startedAt = performance.now();
		this.store = new Store();
		this.servers = [];
		this.gateways = [];
		this.record = (event, values = {}) => {
			const texts = Object.entries(values).filter(([, value]) => value !== undefined).map(([key, value]) => `${key}=${Array.isArray(value) ? value.join(',') : value}`);
			appendFileSync(this.recordFile, `${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${event} ${texts.join(' ')}\n`);
		};
	}

	/** Starts everything; resolves to whether all gateways are ready. */
	async start({configuration = makeConfiguration(1), gateways = 3, servers = [], bounds} = {}) {
		await this.store.start();
		this.store.put('op', 'config', configuration);
		for (const [index, settings] of servers.entries()) {
			const server = new Server({
				store: this.store, zone: zones[index % zones.length], record: this.record, ...settings,
			});
			this.servers.push(server);
			// eslint-disable-next-line no-await-in-loop
			await server.start();
		}

		for (let index = 0; index < gateways; index += 1) {
			const gateway = new GatewayProcess({
				name: `edge-${zones[index % zones.length]}-${index + 1}`, zone: zones[index % zones.length], store: this.store.address, folder: this.folder, bounds,
			});
			this.gateways.push(gateway);
			// eslint-disable-next-line no-await-in-loop
			await gateway.prepare();
			gateway.start();
		}

		const areReady = await Promise.all(this.gateways.map(async gateway => gateway.waitReady()));
		this.record('started', {gateways: this.gateways.map(({settings, front}) => `${settings.name}@${front}`), ready: areReady});
		return areReady.every(Boolean);
	}

	createTrainer() {
		return new Trainer({listFronts: () => this.gateways.map(({front}) => front), record: this.record});
	}

	/** The names of the hosts that own shares of a batch, as the store tells. */
	findOwners(batch) {
		return this.store.list('batches').find(({key}) => key === batch)?.value.shares?.map(({ownerHost}) => ownerHost) ?? [];
	}

	async stop() {
		await Promise.all([...this.gateways.map(async gateway => gateway.child && gateway.stop()), ...this.servers.map(async server => server.stop())]);
		await this.store.stop();
	}
}

/** Runs a case and ends the process with its status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
	const deployment = new Deployment(folder);
	const stop = async status => {
		await deployment.stop().catch(() => undefined);
		if (process.env.KEEP_LOGS === '1') {
			console.log(`logs of the gateways: ${deployment.folder}`);
		} else {
			rmSync(deployment.folder, {recursive: true, force: true});
		}

		// The links of ended processes may keep timers.
		process.exit(status); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(() => {
		deployment.record('time_up');
		stop(2);
	}, 110_000);
	for (const event of ['SIGINT', 'SIGTERM', 'unhandledRejection', 'uncaughtException']) {
		process.on(event, reason => {
			deployment.record('not_run', {reason: String(reason?.stack ?? reason)});
			stop(2);
		});
	}

	let status = 2;
	try {
		const problems = await play(deployment);
		status = problems.length > 0 ? 1 : 0;
		for (const problem of problems) {
			deployment.record('broken', {problem});
			console.log(`broken: ${problem}`);
		}
	} catch (error) {
		deployment.record('not_run', {reason: String(error?.stack ?? error)});
		console.log(`the case could not run: ${error}`);
	}

	clearTimeout(timer);
	await stop(status);
}
