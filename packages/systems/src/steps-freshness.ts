/**
 * How stale a sample is for its trainer: in versions, and in seconds since its oldest part was superseded.
 *
 * Versions are those that the engine reported for each part, never those that were ordered. Times are counted from
 * when this process first heard of a version, by a report of an engine or by a trainer's pull.
 */
import {isStale} from '@wasabiusher/decisions';
import {
	findOldestVersion, type Freshness, type VersionSpan,
} from '@wasabiusher/shared';
import type {FreshnessFacts} from './invariants.js';

/** Versions of a model that are remembered; at one every few minutes, some hours. */
const maxVersions = 64;

/** When versions of models were first heard of, on the monotonic clock. */
export class VersionClock {
	readonly #firstHeard = new Map<string, Map<number, number>>();

	note(model: string, version: number): void {
		const versions = this.#firstHeard.get(model) ?? new Map<number, number>();
		this.#firstHeard.set(model, versions);
		if (!versions.has(version)) {
			versions.set(version, performance.now());
		}

		if (versions.size > maxVersions) {
			versions.delete(Math.min(...versions.keys()));
		}
	}

	/** When a version newer than the given one was first heard of, on the monotonic clock; undefined if none was. */
	findSupersededAt(model: string, version: number): number | undefined {
		const newer = [...this.#firstHeard.get(model) ?? []].filter(([other]) => other > version);
		return newer.length === 0 ? undefined : Math.min(...newer.map(([, at]) => at));
	}
}

/** A sample, or the draft of one. */
export type Dated = {id: string; model: string; versions: readonly VersionSpan[]};

/** By what samples are judged. */
export type FreshnessTerms = {freshness: Freshness | undefined; clock: VersionClock; trainerVersion: number};

/** Describes how stale a sample is, for the invariant and the metric; a draft without any part is as fresh as can be. */
export function describeFreshness({id, model, versions}: Dated, {freshness, clock, trainerVersion}: FreshnessTerms): FreshnessFacts {
	const oldest = versions.length === 0 ? trainerVersion : findOldestVersion(versions);
	const supersededAt = clock.findSupersededAt(model, oldest);
	return {
		id,
		versionsBehind: trainerVersion - oldest,
		maxVersionsBehind: freshness?.versions ?? Number.POSITIVE_INFINITY,
		secondsBehind: supersededAt === undefined ? 0 : (performance.now() - supersededAt) / 1000,
		maxSecondsBehind: freshness?.seconds,
	};
}

/** Whether a sample may be handed over, by the decision on staleness. */
export function isFresh({model, versions}: Dated, {freshness, clock, trainerVersion}: FreshnessTerms): boolean {
	if (!freshness || versions.length === 0) {
		return true;
	}

	const oldestVersion = findOldestVersion(versions);
	return !isStale(freshness, {oldestVersion, supersededAt: clock.findSupersededAt(model, oldestVersion)}, trainerVersion, performance.now());
}
