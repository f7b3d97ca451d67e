/**
 * How an accepted configuration comes into force in every process, and never reverts.
 *
 * A few entries of each data centre, chosen by rendezvous rank, read the head of the record each second. All others
 * learn of a new version over the links they have anyway: who adopts one tells its peers the number (a digest);
 * a peer that is behind answers with its own number, which asks for what is missing; it is sent a delta, or
 * the whole. So a change crosses each link as a few bytes and enters each process once. Digests are
 * repeated every few seconds against losses. Nothing is kept on disk.
 *
 * How to wire it, in an entry or an agent; each method returns what to send:
 *
 * ```ts
 * const adopter = new ConfigurationAdopter({name, log, random, invariants, onAdopted, reader});  // reader: entries only
 * adopter.onLinkUp(peer)            // when a link is up
 * adopter.onLinkDown(peer)          // when it is lost
 * adopter.receive(peer, message)    // for 'configuration', 'configuration-delta' and 'digest'
 * await adopter.tick()              // each second; an entry also once at its start, before it is ready
 * adopter.offer(accepted)           // entries: after an operator's change was accepted here
 * adopter.isReady                   // for /readyz
 * adopter.describe()                // for `status`: own version, peers' versions, whether the store answers
 * ```
 */
import type {MessageOf} from '@wasabiusher/link';
import type {ConfigurationHistory} from '@wasabiusher/record';
import {
	applyConfigurationDelta, createConfigurationDelta, describeError, emptyConfiguration, findChangedNames, orderByRank,
	type AcceptedConfiguration, type ChangedNames, type Log, type Random,
} from '@wasabiusher/shared';
import type {Invariants} from './invariants.js';

/** Messages that the adopter sends and receives. */
export type ConfigurationMessage = MessageOf<'configuration' | 'configuration-delta' | 'digest'>;

/** A message for a peer. */
export type ConfigurationOutput = {to: string; message: ConfigurationMessage};

/** Readers of a data centre: one may die and one lag without a change being seen late; 19 × 3 reads a second in all. */
const readersPerDataCentre = 3;

/** Ticks between two digests to all peers: at 64 links of 30 bytes each, 0.4 KB/s. */
const digestTicks = 5;

/** Time after which what was asked of one peer is asked of another, in milliseconds. */
const requestRetryMs = 500;

/** Peers whose word a new process takes when the store can not be read. */
const minPeersForReadiness = 3;

/** Changes for which deltas can be made; over two minutes at the size designed for. */
const maxDeltaChanges = 64;

/** Where an entry reads the record. */
export type ConfigurationReader = {
	history: ConfigurationHistory;
	/** Names of the live entries of this data centre, this one included. */
	listEntries(): string[];
};

export type ConfigurationAdopterSettings = {
	/** Name of this process. */
	name: string;
	/** Its data centre, over whose entries the readers are chosen. */
	dataCentre: string;
	log: Log;
	random: Random;
	invariants: Invariants;
	/** Only where the store can be reached: entries. */
	reader?: ConfigurationReader;
	/** Called with each version that comes into force here. */
	onAdopted(accepted: AcceptedConfiguration): void;
};

/** A change that was adopted: what it touched on the way from `from`. */
type AdoptedChange = {from: number; changed: ChangedNames};

/** How the configuration stands here. */
export type AdopterStatus = {
	version: number;
	isReady: boolean;
	/** Whether the last read of the record succeeded; undefined if this process does not read it. */
	isStoreReachable?: boolean;
	/** Versions that peers have in force, as last heard. */
	peers: Array<{peer: string; version: number}>;
};

/** Keeps the configuration of one process. */
export class ConfigurationAdopter {
	readonly #settings: ConfigurationAdopterSettings;
	readonly #peers = new Map<string, number | undefined>();
	readonly #handlers = {
		configuration: (from: string, {accepted}: MessageOf<'configuration'>) => this.#adopt(accepted, from),
		'configuration-delta': (from: string, message: MessageOf<'configuration-delta'>) => this.#receiveDelta(from, message),
		digest: (from: string, message: MessageOf<'digest'>) => this.#receiveDigest(from, message),
	};

	#accepted = emptyConfiguration;
	#changes: AdoptedChange[] = [];
	#ticks = 0;
	#isReading = false;
	#isStoreReachable: boolean | undefined;
	#hasReadStore = false;
	#lastRequest = {version: 0, at: Number.NEGATIVE_INFINITY};

	constructor(settings: ConfigurationAdopterSettings) {
		this.#settings = settings;
	}

	/** What is in force. */
	get accepted(): AcceptedConfiguration {
		return this.#accepted;
	}

	/** Whether what is in force is known to be the newest of the store, or of several peers. */
	get isReady(): boolean {
		if (this.#hasReadStore) {
			return true;
		}

		const heard = [...this.#peers.values()].filter(version => version !== undefined && version > 0);
		const needed = Math.max(1, Math.min(minPeersForReadiness, this.#peers.size));
		return heard.length >= needed && this.#accepted.version >= Math.max(...heard.map(version => version!));
	}

	describe(): AdopterStatus {
		return {
			version: this.#accepted.version,
			isReady: this.isReady,
			isStoreReachable: this.#isStoreReachable,
			peers: [...this.#peers].map(([peer, version]) => ({peer, version: version ?? 0})),
		};
	}

	onLinkUp(peer: string): ConfigurationOutput[] {
		this.#peers.set(peer, undefined);
		return [this.#createDigest(peer)];
	}

	onLinkDown(peer: string): void {
		this.#peers.delete(peer);
	}

	receive(from: string, message: ConfigurationMessage): ConfigurationOutput[] {
		// The table pairs each kind with a handler of that kind's message.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const handle = this.#handlers[message.kind] as (from: string, message: ConfigurationMessage) => ConfigurationOutput[];
		return handle(from, message);
	}

	/** Takes a change that an operator made through this process. */
	offer(accepted: AcceptedConfiguration): ConfigurationOutput[] {
		return this.#adopt(accepted);
	}

	/** Reads the record if it is this process's turn, and repeats digests. Never rejects. */
	async tick(): Promise<ConfigurationOutput[]> {
		this.#ticks += 1;
		const digests = this.#ticks % digestTicks === 0 ? [...this.#peers.keys()].map(peer => this.#createDigest(peer)) : [];
		return [...digests, ...await this.#read()];
	}

	async #read(): Promise<ConfigurationOutput[]> {
		const {reader, log} = this.#settings;
		if (!reader || this.#isReading || !this.#isReader(reader)) {
			return [];
		}

		this.#isReading = true;
		try {
			const head = await reader.history.readHead();
			this.#updateStoreReachable(true);
			this.#hasReadStore = true;
			// A store that was set back must not set back what is in force.
			return head.version > this.#accepted.version ? this.#adopt(head) : [];
		} catch (error) {
			this.#updateStoreReachable(false);
			log.debug('configuration_unreadable', {reason: describeError(error)});
			return [];
		} finally {
			this.#isReading = false;
		}
	}

	/** Who is not ready reads whatever its rank. */
	#isReader({listEntries}: ConfigurationReader): boolean {
		const {name, dataCentre} = this.#settings;
		const entries = [...new Set([...listEntries(), name])];
		const readers = orderByRank(`configuration/${dataCentre}`, entries).slice(0, readersPerDataCentre);
		return !this.isReady || readers.includes(name);
	}

	#updateStoreReachable(isReachable: boolean): void {
		if (this.#isStoreReachable === isReachable) {
			return;
		}

		this.#isStoreReachable = isReachable;
		const {log} = this.#settings;
		const values = {version: this.#accepted.version};
		if (isReachable) {
			log.info('configuration_store_reachable', values);
		} else {
			log.warn('configuration_store_unreachable', {...values, detail: 'serving on under this version; no change can be accepted here'});
		}
	}

	#receiveDigest(from: string, {configurationVersion: version}: MessageOf<'digest'>): ConfigurationOutput[] {
		// The first digest after a link came up crosses ours, which asks already.
		const isAsked = this.#peers.get(from) === undefined;
		this.#peers.set(from, version);
		if (version > this.#accepted.version) {
			return isAsked ? [] : this.#requestUpdate(from, version);
		}

		return version < this.#accepted.version ? [this.#createUpdate(from, version)] : [];
	}

	/** Asks by telling the own version, unless the same was asked of another a moment ago. */
	#requestUpdate(from: string, version: number): ConfigurationOutput[] {
		const now = performance.now();
		if (version <= this.#lastRequest.version && now - this.#lastRequest.at < requestRetryMs) {
			return [];
		}

		this.#lastRequest = {version, at: now};
		return [this.#createDigest(from)];
	}

	#receiveDelta(from: string, {delta}: MessageOf<'configuration-delta'>): ConfigurationOutput[] {
		if (delta.version <= this.#accepted.version) {
			return [];
		}

		const accepted = applyConfigurationDelta(this.#accepted, delta);
		// A delta that does not fit shows a gap or a drifted copy: version 0 asks for the whole.
		return accepted ? this.#adopt(accepted, from) : [{to: from, message: {kind: 'digest', configurationVersion: 0}}];
	}

	#adopt(accepted: AcceptedConfiguration, from?: string): ConfigurationOutput[] {
		const {invariants, log, onAdopted} = this.#settings;
		if (from !== undefined) {
			this.#peers.set(from, Math.max(accepted.version, this.#peers.get(from) ?? 0));
		}

		// The same version from several peers is usual; only a lower one would be a fault, and it is not adopted either.
		if (accepted.version <= this.#accepted.version) {
			return [];
		}

		if (!invariants.checkConfigurationForward(this.#accepted.version, accepted.version)) {
			return [];
		}

		this.#changes = [...this.#changes, {from: this.#accepted.version, changed: findChangedNames(this.#accepted.configuration, accepted.configuration)}].slice(-maxDeltaChanges);
		this.#accepted = accepted;
		log.info('configuration_adopted', {version: accepted.version, author: accepted.author, from});
		onAdopted(accepted);
		return [...this.#peers]
			.filter(([peer, version]) => peer !== from && (version ?? 0) < accepted.version)
			.map(([peer]) => this.#createDigest(peer));
	}

	#createDigest(to: string): ConfigurationOutput {
		return {to, message: {kind: 'digest', configurationVersion: this.#accepted.version}};
	}

	#createUpdate(to: string, version: number): ConfigurationOutput {
		const first = this.#changes.findLastIndex(({from}) => from <= version);
		if (first === -1 || version === 0) {
			return {to, message: {kind: 'configuration', accepted: this.#accepted}};
		}

		const steps = this.#changes.slice(first);
		const changed = {
			profiles: new Set(steps.flatMap(step => [...step.changed.profiles])),
			services: new Set(steps.flatMap(step => [...step.changed.services])),
		};
		return {to, message: {kind: 'configuration-delta', delta: createConfigurationDelta(this.#accepted, steps[0]!.from, changed)}};
	}
}
