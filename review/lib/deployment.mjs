/**
 * A small deployment on loopback addresses: the store, the servers, and gateways that are started with the command of the deploy file.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createServer} from 'node:net';
import {
	appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as sendHttp} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {tmpdir} from 'node:os';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** The command of the deploy file. */
const command = /^run = "(?<run>[^"]+)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')).groups.run;

/** Ports of a machine: for requesters, for readiness, for metrics, and sixteen for other machines. */
const portsPerMachine = 20;

export const wait = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Sends a request and returns its whole answer; `status` is 0 if the channel ended before that. */
export async function send(address, {method = 'GET', path: target, headers = {}, body, timeoutMs = 10_000}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = sendHttp({
			host, port, method, path: target, headers: {...headers, ...(body === undefined ? {} : {'content-length': Buffer.byteLength(body)})}, agent: false,
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve({status: response.statusCode, headers: response.headers, text: Buffer.concat(chunks).toString()});
			});
			response.on('error', () => {
				resolve({status: 0, headers: {}, text: ''});
			});
		});
		request.setTimeout(timeoutMs, () => {
			request.destroy(new Error('no answer in time'));
		});
		request.on('error', error => {
			resolve({status: 0, headers: {}, text: String(error)});
		});
		request.end(body);
	});
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds a first port such that the ports of a machine are free at every address. */
async function findPorts(hosts) {
	for (let tries = 0; tries < 50; tries += 1) {
		const first = 20_000 + Math.floor(Math.random() * 10_000);
		const ports = Array.from({length: portsPerMachine}, (_, i) => first + i);
		// Checked one set after the other.
		// eslint-disable-next-line no-await-in-loop
		const free = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(host, port))));
		if (free.every(Boolean)) {
			return first;
		}
	}

	throw new Error('no free ports');
}

/** One machine with a gateway. */
class Gateway {
	#child;
	#settingsFile;
	#logFile;
	#record;

	constructor({
		name, host, firstPort, settingsFile, logFile, record,
	}) {
		Object.assign(this, {name, host});
		this.callers = `${host}:${firstPort}`;
		this.readiness = `${host}:${firstPort + 1}`;
		this.metrics = `${host}:${firstPort + 2}`;
		this.#settingsFile = settingsFile;
		this.#logFile = logFile;
		this.#record = record;
	}

	get pid() {
		return this.#child?.pid;
	}

	start() {
		const [program, ...words] = command.split(' ');
		const log = openSync(this.#logFile, 'a');
		this.#child = spawn(program, words, {
			cwd: root,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, WASABIUSHER_BOOT: this.#settingsFile, WASABIUSHER_METRICS: this.metrics,
			},
			stdio: ['ignore', log, log],
		});
		const {pid} = this.#child;
		this.#record(`${this.name} started`);
		this.#child.once('exit', (code, signal) => {
			this.#record(`${this.name} ended: ${signal ?? code}`);
			this.ended = {pid, code, signal};
		});
	}

	/** Sends a signal to the process that this object has started. */
	signal(name) {
		if (this.#child && this.#child.exitCode === null && this.#child.signalCode === null) {
			this.#record(`${this.name} gets ${name}`);
			this.#child.kill(name);
		}
	}

	async isReady() {
		const {status} = await send(this.readiness, {path: '/-/readyz', timeoutMs: 1000});
		return status === 200;
	}
}

/** A deployment with settings like those of a small site. */
export class Deployment {
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#recordFile;
	#startedAt = performance.now();
	gateways = [];
	servers = [];

	constructor(recordFile, store) {
		this.#recordFile = recordFile;
		this.store = store;
		writeFileSync(recordFile, '');
	}

	record = line => {
		appendFileSync(this.#recordFile, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${line}\n`);
	};

	/** Path of the file with what a gateway writes. */
	findLog(name) {
		return path.join(this.#folder, `${name}.log`);
	}

	/** @param findStore - returns the address at which a machine reaches the store, given its index and the store's own address */
	async start({hosts, bounds = {}, findStore = async (_index, address) => address}) {
		const storeAddress = await this.store.listen('127.0.0.1');
		const stores = await Promise.all(hosts.map(async (_host, i) => findStore(i, storeAddress)));
		const firstPort = await findPorts(hosts);
		this.gateways = hosts.map((host, i) => {
			const name = `edge-tomakomai-${i + 1}`;
			const settingsFile = path.join(this.#folder, `${name}.toml`);
			writeFileSync(settingsFile, this.#formatSettings({
				name, host, firstPort, bounds, storeAddress: stores[i],
			}));
			return new Gateway({
				name, host, firstPort, settingsFile, logFile: this.findLog(name), record: this.record,
			});
		});
		for (const gateway of this.gateways) {
			gateway.start();
		}
	}

	async addServers(servers) {
		this.servers.push(...servers);
		await Promise.all(servers.map(async server => server.start('127.0.0.1')));
	}

	/** Resolves once all gateways are ready; throws if they are not in time. */
	async waitReady(timeoutMs = 15_000) {
		const until = performance.now() + timeoutMs;
		while (performance.now() < until) {
			// One check after the other.
			// eslint-disable-next-line no-await-in-loop
			const ready = await Promise.all(this.gateways.map(async gateway => gateway.isReady()));
			if (ready.every(Boolean)) {
				this.record('all machines are ready');
				return;
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(100);
		}

		throw new Error('the machines did not become ready');
	}

	/** Ends all processes that were started, and all stand-ins. */
	async stop() {
		for (const gateway of this.gateways) {
			gateway.signal('SIGCONT');
			gateway.signal('SIGKILL');
		}

		for (const server of this.servers) {
			server.stop();
		}

		this.store.close();
		await wait(200);
		if (!process.env.KEEP) {
			rmSync(this.#folder, {recursive: true, force: true});
		}
	}

	/** The settings file that the platform lays on a machine; the figures are those of tomakomai-tankfarm. */
	#formatSettings({
		name, host, firstPort, bounds, storeAddress,
	}) {
		const figures = {
			seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4.9, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250,
			maxStretchMs: 5000, recoverS: 12, passMs: 120, retryAfterS: 0, finishS: 10, statusS: 120, cancelMs: 3000, settleMs: 1000, quotaOvershoot: 0.1, fencingEnforced: true,
			leaseMs: 3000, thawMs: 300, ...bounds,
		};
		return `nodeName = "${name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "${host}"
zone = "tomakomai"
region = "hokkaido"
internalPorts = [${firstPort + 4},${firstPort + 19}]
seeds = []
isBootstrap = true
isCounted = false
discovery = "platform"
entry = "anycast"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[zones]
tomakomai = "hokkaido"
[listen]
front = "${host}:${firstPort}"
ready = "${host}:${firstPort + 1}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = 390
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${Object.entries(figures).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${storeAddress}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
`;
	}
}

/** Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(deployment, play) {
	let status = 2;
	const limit = setTimeout(() => {
		deployment.record('the case took too long');
		// This file ends command-line programs.
		// eslint-disable-next-line unicorn/no-process-exit
		deployment.stop().finally(() => process.exit(2));
	}, 110_000);
	try {
		const broken = await play();
		status = broken.length > 0 ? 1 : 0;
		for (const line of broken) {
			deployment.record(`BROKEN: ${line}`);
		}

		deployment.record(broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held');
	} catch (error) {
		deployment.record(`the case could not run: ${error.stack}`);
	}

	clearTimeout(limit);
	await deployment.stop();
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(status);
}
