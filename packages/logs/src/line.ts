/**
 * Parses log lines: `key=value` pairs, as `formatLine` of the shared package writes them.
 *
 * A tool that collects the logs of several hosts in one file may put a prefix before `time=`. The last word of the prefix counts as the
 * host.
 */

/** One event of one host. */
export type LogLine = {
	/** Host that wrote the line; empty if the line has no prefix. */
	host: string;
	/** Time on the host's own clock, in milliseconds since the epoch. */
	timeMs: number;
	event: string;
	values: ReadonlyMap<string, string>;
};

const pairPattern = /(?<key>[\w\-]+)=(?<value>"(?:[^"\\]|\\.)*"|\S*)/gv;

const timePrefix = 'time=';

/** Parses a line; returns undefined if another program wrote it or if it is truncated. */
export function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf(timePrefix);
	if (start === -1) {
		return undefined;
	}

	const values = new Map<string, string>();
	for (const {groups} of text.slice(start).matchAll(pairPattern)) {
		const value = parseValue(groups!.value!);
		if (value === undefined) {
			return undefined;
		}

		values.set(groups!.key!, value);
	}

	const event = values.get('event');
	const timeMs = Date.parse(values.get('time') ?? '');
	if (event === undefined || Number.isNaN(timeMs)) {
		return undefined;
	}

	return {
		host: text.slice(0, start).trim().split(/\s+/v).at(-1) ?? '', timeMs, event, values,
	};
}

/** Removes the quotes and escapes of a value; returns undefined if the closing quote is missing. */
function parseValue(value: string): string | undefined {
	if (!value.startsWith('"')) {
		return value;
	}

	try {
		return String(JSON.parse(value));
	} catch {
		// The line is truncated; the caller counts it as skipped.
		return undefined;
	}
}

/** Returns the value of a key as a number; undefined if it is missing or not a finite number. */
export function readNumber({values}: LogLine, key: string): number | undefined {
	const number = Number(values.get(key) ?? Number.NaN);
	return Number.isFinite(number) ? number : undefined;
}
