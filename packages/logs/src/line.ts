/**
 * Lines of the logs: `key=value` pairs, as `formatLine` of the shared package writes them.
 *
 * What stands before `time=` may have been put there by whoever gathered the logs of several hosts in one file; its last word is
 * taken for the host.
 */

/** One event of one host. */
export type LogLine = {
	/** Where it was written; empty if the file does not tell. */
	host: string;
	/** On the host's own clock, in milliseconds since 1970. */
	timeMs: number;
	event: string;
	values: ReadonlyMap<string, string>;
};

const pairPattern = /(?<key>[\w\-]+)=(?<value>"(?:[^"\\]|\\.)*"|\S*)/gv;

const timeMark = 'time=';

/** Reads a line; undefined if it is none of ours, or was cut. */
export function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf(timeMark);
	if (start === -1) {
		return undefined;
	}

	const values = new Map<string, string>();
	for (const {groups} of text.slice(start).matchAll(pairPattern)) {
		const value = unquote(groups!.value!);
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

/** The text of a value; undefined if its quotation does not end. */
function unquote(value: string): string | undefined {
	if (!value.startsWith('"')) {
		return value;
	}

	try {
		return String(JSON.parse(value));
	} catch {
		// A line that was cut in its middle; the caller counts it.
		return undefined;
	}
}

/** A value as a number; undefined if there is none. */
export function readNumber({values}: LogLine, key: string): number | undefined {
	const number = Number(values.get(key) ?? Number.NaN);
	return Number.isFinite(number) ? number : undefined;
}
