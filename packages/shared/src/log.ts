/**
 * Structured logs: one line of key=value pairs for each event.
 *
 * Callers never pass payloads or secrets. `redactedKeys` is a second safeguard that redacts them by name.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';

/** Values that a log line may carry. */
export type LogValue = string | number | boolean | undefined;

/** Keys whose values are redacted. */
const redactedKeys = new Set(['token', 'key', 'secret', 'authorization', 'prompt', 'body', 'payload', 'text']);

/** Longer values are truncated to this many characters, so that lines stay readable on a terminal. */
const maxValueLength = 400;

/** Consola's level numbers for the `log-level` setting. */
const levels = {
	error: 0, warn: 1, info: 3, debug: 4,
} as const;

export type LogLevel = keyof typeof levels;

function formatValue(key: string, value: LogValue): string {
	if (redactedKeys.has(key)) {
		return 'redacted';
	}

	const text = String(value).slice(0, maxValueLength);
	return /^[\w.:\/@+\-]+$/v.test(text) ? text : JSON.stringify(text);
}

/** Formats an event as `key=value` pairs; undefined values are left out. */
export function formatLine(event: string, values: Readonly<Record<string, LogValue>>): string {
	const pairs = Object.entries(values)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(key, value)}`);
	return [`event=${event}`, ...pairs].join(' ');
}

/** Writes the events of one program that are at least as severe as the level. */
export class Log {
	readonly #consola: ConsolaInstance;
	readonly #program: string;

	/**
	 * @param program - name of the program, included in every line
	 * @param level - least severe level written
	 * @param write - writes a line; to standard error by default, because standard output is for results
	 */
	constructor(program: string, level: LogLevel = 'info', write: (line: string) => void = line => process.stderr.write(`${line}\n`)) {
		this.#program = program;
		this.#consola = createConsola({
			level: levels[level],
			throttle: 0,
			reporters: [{
				log(entry: LogObject) {
					write(`time=${entry.date.toISOString()} level=${entry.type} ${String(entry.args[0])}`);
				},
			}],
		});
	}

	info(event: string, values: Readonly<Record<string, LogValue>> = {}): void {
		this.#consola.info(this.#format(event, values));
	}

	warn(event: string, values: Readonly<Record<string, LogValue>> = {}): void {
		this.#consola.warn(this.#format(event, values));
	}

	error(event: string, values: Readonly<Record<string, LogValue>> = {}): void {
		this.#consola.error(this.#format(event, values));
	}

	debug(event: string, values: Readonly<Record<string, LogValue>> = {}): void {
		this.#consola.debug(this.#format(event, values));
	}

	#format(event: string, values: Readonly<Record<string, LogValue>>): string {
		return `program=${this.#program} ${formatLine(event, values)}`;
	}
}

/** A log that writes nothing, for tests and embedded use. */
export function createSilentLog(): Log {
	return new Log('silent', 'error', () => undefined);
}
