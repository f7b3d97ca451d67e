/**
 * Estimates the clock offsets of hosts from events that all hosts log at nearly the same time.
 *
 * Hosts receive a configuration or a published version within some tenths of a second of each other. For each such event, the difference
 * between a host's time and the median of all hosts is a sample of its clock's offset. The median over many events ignores single events that
 * a host received late.
 */
import {findLowerMedian} from '@wasabiusher/shared';
import type {LogLine} from './line.js';

/** Events that all hosts log, with the keys whose values identify one occurrence. */
const sharedEvents: ReadonlyMap<string, readonly string[]> = new Map([
	['configuration_adopted', ['version']],
	['version_published', ['model', 'version']],
	['endpoint_removed', ['endpoint']],
]);

/** Smallest offset that is corrected, in milliseconds. Smaller ones can't be told from the different times at which hosts receive an event. */
const minOffsetMs = 500;

/** Returns a pattern that matches the text of lines of the given events, so that other lines need not be parsed. */
export function createEventPattern(events: Iterable<string>): RegExp {
	return new RegExp(`event=(?:${[...new Set(events)].join('|')}) `, 'v');
}

const sharedEventPattern = createEventPattern(sharedEvents.keys());

/** Returns the time of a line corrected by its host's clock offset, in milliseconds since the epoch. */
export function correctTime({timeMs, host}: LogLine, offsets: ReadonlyMap<string, number>): number {
	return timeMs - (offsets.get(host) ?? 0);
}

/** Collects the times at which hosts logged the same events. */
export class HostClocks {
	/** Whether the text of a line contains an event that all hosts log. */
	static matches(text: string): boolean {
		return sharedEventPattern.test(text);
	}

	/** Times in milliseconds by host, by event occurrence. */
	readonly #timesByEvent = new Map<string, Map<string, number>>();

	/** Adds a line. Events that not all hosts log are ignored. */
	add({event, host, timeMs, values}: LogLine): void {
		const keys = sharedEvents.get(event);
		if (!keys) {
			return;
		}

		const occurrence = [event, ...keys.map(key => values.get(key) ?? '')].join(' ');
		const times = this.#timesByEvent.get(occurrence) ?? new Map<string, number>();
		this.#timesByEvent.set(occurrence, times);
		// After a restart a host logs earlier events again; only the first time counts.
		if (!times.has(host)) {
			times.set(host, timeMs);
		}
	}

	/** Returns by how much each host's clock is ahead of the median, in milliseconds. Hosts with smaller offsets than the minimum are left out. */
	findOffsets(): Map<string, number> {
		const offsets = new Map<string, number[]>();
		for (const times of this.#timesByEvent.values()) {
			const median = findLowerMedian([...times.values()])!;
			for (const [host, timeMs] of times) {
				offsets.set(host, [...offsets.get(host) ?? [], timeMs - median]);
			}
		}

		return new Map([...offsets].map(([host, samples]) => [host, findLowerMedian(samples)!] as const).filter(([, offset]) => Math.abs(offset) >= minOffsetMs));
	}
}
