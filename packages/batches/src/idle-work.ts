/**
 * Reports accepted work that nothing runs: samples at no endpoint although endpoints have room, and shares that no process works on.
 *
 * Load pattern: a step waits for its last sample. Each reason for which that sample is at no endpoint (no room, a backoff, a lost version, a lost owner) looks the
 * same from outside, so the line names the reason, its age and what the process believes of the endpoints. In an overload hundreds of samples wait;
 * only a few are named, the others are counted.
 */
import type {EndpointDirectory, EndpointRequirement, EndpointRoom} from '@wasabiusher/direct';
import {dropOldest, type Log} from '@wasabiusher/shared';
import type {KnownBatch, KnownBatches} from './known-batches.js';
import type {HostRegistry} from './host-registry.js';
import type {ShareOwner} from './share-owner.js';
import {nameShare} from './shares.js';

/** Time after which idle work is reported, in milliseconds. */
export const idleReportMs = 3000;

/** Silence from which an owner counts as not working, in milliseconds: two heartbeats and a slow answer of the store. */
const minSilenceMs = 1200;

/** Interval between scans, in milliseconds. */
const scanIntervalMs = 1000;

/** Time after which the same sample or share is reported again, in milliseconds, and the number of remembered reports. */
const repeatMs = 5000;
const maxReported = 1000;

/** Maximum number of lines of one scan. */
const maxLinesPerScan = 3;

/** Delay before a takeover from which a host leaves the report to others, in milliseconds: the first few by rank report. */
const maxReporterDelayMs = 60;

export type IdleWorkSettings = {
	directory: EndpointDirectory;
	known: KnownBatches;
	hosts: HostRegistry;
	log: Log;
	listOwners(): Iterable<ShareOwner>;
	/** Whether this process works on a share or is about to. */
	isAttended(batch: string, share: number): boolean;
};

/** Scans for idle work at regular intervals. */
export class IdleWork {
	/** Samples reported as idle, and shares reported as unattended. */
	readonly counts = {samplesIdle: 0, sharesUnattended: 0};
	readonly #settings: IdleWorkSettings;
	/** When each sample or share was last reported, on the monotonic clock, by name. */
	readonly #reportedAt = new Map<string, number>();
	/** Since when each share has been unattended at every scan, on the monotonic clock, by name. */
	#unattendedSince = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;

	constructor(settings: IdleWorkSettings) {
		this.#settings = settings;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#reportSamples();
			this.#reportShares();
		}, scanIntervalMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#reportSamples(): void {
		const {log, listOwners} = this.#settings;
		const found = [...listOwners()].flatMap(owner => owner.listIdle(idleReportMs).map(idle => ({owner, ...idle})));
		const rooms = new Map<string, EndpointRoom>();
		const due = found
			.map(idle => ({...idle, room: 'requirement' in idle && idle.requirement ? this.#describeRoom(idle.requirement, rooms) : undefined}))
			.filter(({reason, room}) => reason !== 'search' || (room?.withRoom ?? 0) > 0)
			.filter(({owner, sample}) => this.#isDue(`${owner.name}/${sample}`));
		this.counts.samplesIdle += due.length;
		for (const {owner, sample, reason, idleMs, room, ...run} of due.slice(0, maxLinesPerScan)) {
			const requirement = 'requirement' in run ? run.requirement : undefined;
			log.warn('sample_idle', {
				batch: owner.id, share: owner.share, sample, reason, idleMs: Math.round(idleMs), ...('runs' in run ? {runs: run.runs, last: run.lastEndpoint} : {}),
				service: requirement?.service, least: requirement?.oldestVersion?.version, exact: requirement?.exactVersion?.version, ...room,
				untold: Math.max(0, due.length - maxLinesPerScan),
			});
		}
	}

	/** Describes the room for a requirement, once a scan for all samples that need the same. */
	#describeRoom(requirement: EndpointRequirement, rooms: Map<string, EndpointRoom>): EndpointRoom {
		const {service, oldestVersion, exactVersion} = requirement;
		const key = JSON.stringify([service, oldestVersion, exactVersion]);
		const room = rooms.get(key) ?? this.#settings.directory.describeRoom(requirement);
		rooms.set(key, room);
		return room;
	}

	#reportShares(): void {
		const before = this.#unattendedSince;
		this.#unattendedSince = new Map();
		for (const known of this.#settings.known.values()) {
			if (!known.record.isEnded) {
				for (const share of known.record.shares.keys()) {
					this.#reportShare(known, share, before);
				}
			}
		}
	}

	#reportShare({record, ownerObservedAt}: KnownBatch, share: number, before: ReadonlyMap<string, number>): void {
		const {hosts, log} = this.#settings;
		const {owner, ownerHost, term} = record.shares[share]!;
		if (!this.#isUnattended(record.id, share, owner, ownerObservedAt[share] ?? 0)) {
			return;
		}

		const name = nameShare(record.id, share);
		const now = performance.now();
		const since = before.get(name) ?? now;
		this.#unattendedSince.set(name, since);
		if (now - since >= idleReportMs && this.#isDue(name)) {
			this.counts.sharesUnattended += 1;
			log.warn('share_unattended', {
				batch: record.id, share, term, ownerHost, isOwn: owner === hosts.incarnation, unattendedMs: Math.round(now - since), ...hosts.describeOwner(owner, ownerObservedAt[share] ?? 0),
			});
		}
	}

	/** Whether this process is the owner and doesn't work on a share, or the owner is silent or gone and this is one of the first hosts to take over. */
	#isUnattended(batch: string, share: number, owner: string, ownedSince: number): boolean {
		const {hosts, isAttended} = this.#settings;
		if (owner === hosts.incarnation) {
			return !isAttended(batch, share);
		}

		return hosts.describeOwner(owner, ownedSince).silentMs >= minSilenceMs && hosts.findTakeoverDelayMs(owner) <= maxReporterDelayMs;
	}

	#isDue(name: string): boolean {
		const now = performance.now();
		if (now - (this.#reportedAt.get(name) ?? Number.NEGATIVE_INFINITY) < repeatMs) {
			return false;
		}

		this.#reportedAt.delete(name);
		this.#reportedAt.set(name, now);
		dropOldest(this.#reportedAt, maxReported);
		return true;
	}
}
