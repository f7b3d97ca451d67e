/**
 * Measures how stale a sample is for its trainer: in versions, and in seconds since the version of its oldest part was superseded.
 *
 * Versions are those that the engine reported for each part, never those that were ordered. Times are measured from
 * when a version was first reported to this process, by an engine or by a trainer's pull.
 */
import {isStale} from '@wasabiusher/decisions';
import {
	findOldestVersion, type Freshness, type VersionSpan,
} from '@wasabiusher/shared';
import type {FreshnessFacts} from './invariants.js';

/** Maximum number of versions kept per model; some hours' worth at one version every few minutes. */
const maxVersions = 64;

/** Records when each version of a model was first reported, on the monotonic clock. */
export class VersionClock {
	readonly #firstReportedAt = new Map<string, Map<number, number>>();

	record(model: string, version: number): void {
		const versions = this.#firstReportedAt.get(model) ?? new Map<number, number>();
		this.#firstReportedAt.set(model, versions);
		if (!versions.has(version)) {
			versions.set(version, performance.now());
		}

		if (versions.size > maxVersions) {
			versions.delete(Math.min(...versions.keys()));
		}
	}

	/** Returns when a version newer than the given one was first reported, on the monotonic clock; undefined if none was. */
	findSupersededAt(model: string, version: number): number | undefined {
		const newer = [...this.#firstReportedAt.get(model) ?? []].filter(([other]) => other > version);
		return newer.length === 0 ? undefined : Math.min(...newer.map(([, at]) => at));
	}
}

/** A sample or a draft of one, with its versions. */
export type VersionedSample = {id: string; model: string; versions: readonly VersionSpan[]};

/** What the staleness of samples is checked against. */
export type FreshnessTerms = {freshness: Freshness | undefined; clock: VersionClock; trainerVersion: number};

/** Returns how stale a sample is, for the invariant and the metric; a draft without parts counts as having the trainer's version. */
export function describeFreshness({id, model, versions}: VersionedSample, {freshness, clock, trainerVersion}: FreshnessTerms): FreshnessFacts {
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

/** Returns whether a sample is fresh enough to be delivered. */
export function isFresh({model, versions}: VersionedSample, {freshness, clock, trainerVersion}: FreshnessTerms): boolean {
	if (!freshness || versions.length === 0) {
		return true;
	}

	const oldestVersion = findOldestVersion(versions);
	return !isStale(freshness, {oldestVersion, supersededAt: clock.findSupersededAt(model, oldestVersion)}, trainerVersion, performance.now());
}
