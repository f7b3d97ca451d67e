/**
 * How far the clocks of hosts are apart, by events that all hosts see at nearly the same moment.
 *
 * Hosts learn of a configuration or a published version within some tenths of a second of each other. What a host's lines of such events are off
 * from the middle of all hosts is its clock's offset; the middle over many events leaves out a host that was once late to learn.
 */
import {findMiddle} from '@wasabiusher/shared';
import type {LogLine} from './line.js';

/** Events that all hosts log, and the values that tell which one it is. */
const sharedEvents: ReadonlyMap<string, readonly string[]> = new Map([
	['configuration_adopted', ['version']],
	['version_published', ['model', 'version']],
	['endpoint_removed', ['endpoint']],
]);

/** Offset from which clocks count as apart, in milliseconds: hosts learn of the same event at different times. */
const leastOffsetMs = 500;

/** Finds the lines of some events by their text, before they are taken apart. */
export function createEventPattern(events: Iterable<string>): RegExp {
	return new RegExp(`event=(?:${[...new Set(events)].join('|')}) `, 'v');
}

const sharedPattern = createEventPattern(sharedEvents.keys());

/** When a line was written, on the middle of the hosts' clocks, in milliseconds since 1970. */
export function putRight({timeMs, host}: LogLine, offsets: ReadonlyMap<string, number>): number {
	return timeMs - (offsets.get(host) ?? 0);
}

/** Gathers what hosts have logged of the same events. */
export class HostClocks {
	/** Whether a line may tell of such an event, by its text. */
	static concerns(text: string): boolean {
		return sharedPattern.test(text);
	}

	/** Times by event, and in it by host. */
	readonly #times = new Map<string, Map<string, number>>();

	/** Takes in a line; others than of shared events are left out. */
	add({event, host, timeMs, values}: LogLine): void {
		const keys = sharedEvents.get(event);
		if (!keys) {
			return;
		}

		const name = [event, ...keys.map(key => values.get(key) ?? '')].join(' ');
		const times = this.#times.get(name) ?? new Map<string, number>();
		this.#times.set(name, times);
		// After a restart a host learns of old news once more.
		if (!times.has(host)) {
			times.set(host, timeMs);
		}
	}

	/** How far each host's clock is before the others', in milliseconds; hosts whose clocks agree are left out. */
	findOffsets(): Map<string, number> {
		const offsets = new Map<string, number[]>();
		for (const times of this.#times.values()) {
			const middle = findMiddle([...times.values()])!;
			for (const [host, timeMs] of times) {
				offsets.set(host, [...offsets.get(host) ?? [], timeMs - middle]);
			}
		}

		return new Map([...offsets].map(([host, found]) => [host, findMiddle(found)!] as const).filter(([, offset]) => Math.abs(offset) >= leastOffsetMs));
	}
}
