/**
 * Starts the programs in `dist/` as child processes and stops them.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import process from 'node:process';

/** Time within which a program must become ready, in milliseconds. */
const startTimeoutMs = 15_000;

/** Environment variable of the log level; set to `error` so that logs do not mix with the printed figures. */
const logLevelVariable = 'WASABIUSHER_LOG_LEVEL';

/** Interval between readiness checks, in milliseconds. */
const pollMs = 20;

export class Processes {
	readonly #children: ChildProcess[] = [];

	/** Starts Node.js with the given arguments. Returns the process id. */
	start(...argv: string[]): number {
		const child = spawn(process.execPath, argv, {stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, [logLevelVariable]: 'error'}});
		this.#children.push(child);
		if (child.pid === undefined) {
			throw new Error(`could not start node ${argv[0]}`);
		}

		return child.pid;
	}

	/** Starts a program in `dist/` with the given settings. Resolves to its process id once it answers health checks at `listen`. */
	async startProgram(name: string, settings: Readonly<Record<string, string | number>>): Promise<number> {
		const flags = Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
		const pid = this.start(`dist/${name}.mjs`, ...flags);
		await waitFor(async () => {
			const {ok} = await fetch(`http://${settings.listen}/healthz`);
			return ok;
		});
		return pid;
	}

	/** Stops all processes, the last started first. */
	async stop(): Promise<void> {
		for (const child of this.#children.toReversed()) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGTERM');
				// Later processes depend on earlier ones, so each must exit before the next is stopped.
				// eslint-disable-next-line no-await-in-loop
				await once(child, 'exit');
			}
		}
	}
}

/** Polls until the test returns true; a test that throws counts as false. Throws after `startTimeoutMs`. */
export async function waitFor(test: () => Promise<boolean>): Promise<void> {
	const until = performance.now() + startTimeoutMs;
	while (performance.now() < until) {
		// Each poll waits for the previous one.
		// eslint-disable-next-line no-await-in-loop
		if (await test().catch(() => false)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(pollMs);
	}

	throw new Error('a program did not become ready before the start timeout');
}

export async function sleep(timeMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeMs);
	});
}

/** Returns a loopback address whose port was free when checked; another process may bind it before it is used. */
export async function findFreeAddress(): Promise<string> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${typeof bound === 'object' ? bound!.port : 0}`;
}

/** Reads the resident memory of a process, in MB (10^6 bytes). */
export async function readRssMb(pid: number): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(?<kb>\d+) kB/v.exec(status)!.groups!.kb) * 1024 / 1e6;
}

/** Clock ticks per second (USER_HZ), the unit in which Linux reports processor time in /proc. */
const ticksPerSecond = 100;

/** Reads the processor time that a process has used, in seconds. */
export async function readCpuSeconds(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	// The command name may contain spaces, so fields are counted after its closing parenthesis; user and system time are the 12th and 13th.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}
