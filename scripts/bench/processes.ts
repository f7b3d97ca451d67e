/**
 * Starts the programs of `dist/` as processes of their own, and ends them.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import process from 'node:process';

/** Longest wait for a program to answer, in milliseconds. */
const startTimeoutMs = 15_000;

/** Keeps the programs from logging over the figures. */
const logLevelVariable = 'WASABIUSHER_LOG_LEVEL';

/** How often it is asked, in milliseconds. */
const pollMs = 20;

export class Processes {
	readonly #children: ChildProcess[] = [];

	/** Starts Node.js with arguments; resolves to the process's id. */
	start(...argv: string[]): number {
		const child = spawn(process.execPath, argv, {stdio: ['ignore', 'ignore', 'inherit'], env: {...process.env, [logLevelVariable]: 'error'}});
		this.#children.push(child);
		if (child.pid === undefined) {
			throw new Error(`${argv[0]} can not be started`);
		}

		return child.pid;
	}

	/** Starts a program of `dist/` with its settings; resolves when it answers at `listen`. */
	async startProgram(name: string, settings: Readonly<Record<string, string | number>>): Promise<number> {
		const flags = Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
		const pid = this.start(`dist/${name}.mjs`, ...flags);
		await waitFor(async () => {
			const {ok} = await fetch(`http://${settings.listen}/healthz`);
			return ok;
		});
		return pid;
	}

	/** Ends all, the last started first. */
	async stop(): Promise<void> {
		for (const child of this.#children.toReversed()) {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGTERM');
				// They depend on each other.
				// eslint-disable-next-line no-await-in-loop
				await once(child, 'exit');
			}
		}
	}
}

/** Resolves when the test holds; a test that throws does not. */
export async function waitFor(test: () => Promise<boolean>): Promise<void> {
	const until = performance.now() + startTimeoutMs;
	while (performance.now() < until) {
		// Each try waits for the one before.
		// eslint-disable-next-line no-await-in-loop
		if (await test().catch(() => false)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await pause(pollMs);
	}

	throw new Error('a program did not come up in time');
}

export async function pause(timeMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeMs);
	});
}

/** An address on loopback that was free a moment ago. */
export async function findFreeAddress(): Promise<string> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${typeof bound === 'object' ? bound!.port : 0}`;
}

/** Resident memory of a process, in MB (10^6 bytes). */
export async function readRssMb(pid: number): Promise<number> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(?<kb>\d+) kB/v.exec(status)!.groups!.kb) * 1024 / 1e6;
}

/** Clock ticks of the kernel in a second, as Linux reports processor time to programs. */
const ticksPerSecond = 100;

/** Processor time that a process has used, in seconds. */
export async function readCpuSeconds(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	// Fields after the command's name, which may hold spaces; user and system time are the 12th and 13th of them.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}
