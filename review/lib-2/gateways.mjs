/**
 * Starts the gateways of a small deployment as processes, with the command of the deploy file and settings as on the users' platform.
 */
import {spawn} from 'node:child_process';
import {mkdirSync, openSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {send, wait} from './http.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Ports that were found before; the system may offer a port again before its process listens on it. */
const foundPorts = new Set();

/** Finds a free loopback port that was not found before. */
async function findPort() {
	const server = net.createServer();
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	if (foundPorts.has(port)) {
		return findPort();
	}

	foundPorts.add(port);
	return port;
}

export class GatewayProcess {
	/** @param settings - `name`, `zone`, `store` (its address), `folder`, `bounds` */
	constructor(settings) {
		this.settings = settings;
		this.starts = 0;
	}

	async prepare() {
		const {name, zone, store, folder, bounds = {}} = this.settings;
		this.front = `127.0.0.1:${await findPort()}`;
		this.ready = `127.0.0.1:${await findPort()}`;
		const internal = await findPort();
		const all = {
			seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4.9, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250,
			maxStretchMs: 5000, recoverS: 12, passMs: 120, retryAfterS: 0, finishS: 10, statusS: 120, cancelMs: 3000, settleMs: 1000, quotaOvershoot: 0.1,
			fencingEnforced: true, leaseMs: 3000, thawMs: 300, ...bounds,
		};
		mkdirSync(folder, {recursive: true});
		this.file = path.join(folder, `${name}.toml`);
		writeFileSync(this.file, `nodeName = "${name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "${zone}"
region = "hokkaido"
internalPorts = [${internal},${internal + 15}]
seeds = []
isBootstrap = true
isCounted = false
discovery = "platform"
entry = "anycast"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[listen]
front = "${this.front}"
ready = "${this.ready}"
[limits]
cpuShare = 0.675
cores = 2
memoryMb = 390
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
${Object.entries(all).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
`);
	}

	/** Starts the process by the deploy file's command. */
	start() {
		const {name, folder} = this.settings;
		this.starts += 1;
		const log = openSync(path.join(folder, `${name}-${this.starts}.log`), 'w');
		this.child = spawn(process.execPath, ['--max-old-space-size=160', 'target/wasabiusher-gateway.mjs'], {
			cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, WASABIUSHER_BOOT: this.file},
		});
		this.ended = new Promise(resolve => {
			this.child.once('exit', resolve);
		});
	}

	kill(signal) {
		this.child.kill(signal);
	}

	async stop() {
		if (this.child.exitCode === null && this.child.signalCode === null) {
			this.child.kill('SIGCONT');
			this.child.kill('SIGKILL');
			await this.ended;
		}
	}

	/** Resolves to whether the gateway reports ready within the given time. */
	async waitReady(timeoutMs = 15_000) {
		const until = performance.now() + timeoutMs;
		while (performance.now() < until) {
			// eslint-disable-next-line no-await-in-loop
			const {status} = await send({address: this.ready, path: '/-/readyz', timeoutMs: 1000});
			if (status === 200) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(100);
		}

		return false;
	}
}
