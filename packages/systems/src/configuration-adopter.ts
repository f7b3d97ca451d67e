/**
 * Distributes an accepted configuration to every process and ensures that the version never decreases.
 *
 * A few entries of each data centre, chosen by rendezvous rank, read the head of the record each second. All other processes
 * receive a new version over their existing links: a process that adopts one sends its version number (a digest) to its peers;
 * a peer with a lower version answers with its own number, which requests the missing part; it receives a delta or
 * the full configuration. So a change crosses each link as a few bytes, and its content is sent to each process once. Digests are
 * repeated every few seconds in case messages are lost. Nothing is stored on disk.
 *
 * Usage in an entry or an agent; each method returns the messages to send:
 *
 * ```ts
 * const adopter = new ConfigurationAdopter({name, log, random, invariants, onAdopted, reader});  // reader: entries only
 * adopter.onLinkUp(peer)            // when a link is up
 * adopter.onLinkDown(peer)          // when it is lost
 * adopter.receive(peer, message)    // for 'configuration', 'configuration-delta' and 'digest'
 * await adopter.tick()              // each second; in an entry also once at start, before it is ready
 * adopter.adoptChange(accepted)           // entries: after an operator's change was accepted here
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

/** A message that the adopter sends or receives. */
export type ConfigurationMessage = MessageOf<'configuration' | 'configuration-delta' | 'digest'>;

/** A message for a peer. */
export type ConfigurationOutput = {to: string; message: ConfigurationMessage};

/** Number of entries per data centre that read the record: one may crash and one may lag without delaying a change; 19 × 3 reads per second in total. */
const readersPerDataCentre = 3;

/** Number of ticks between two digests to all peers; 0.4 KB/s with 30 bytes on each of 64 links. */
const digestTicks = 5;

/** Time after which a version requested from one peer is requested from another, in milliseconds. */
const requestRetryMs = 500;

/** Number of peers that must report a version before a new process that cannot read the store is ready. */
const minPeersForReadiness = 3;

/** Maximum number of changes kept to create deltas from; more than two minutes of changes at the design rate. */
const maxDeltaChanges = 64;

/** Gives an entry access to the record. */
export type ConfigurationReader = {
	history: ConfigurationHistory;
	/** Names of the live entries of this data centre, this one included. */
	listEntries(): string[];
};

export type ConfigurationAdopterSettings = {
	/** Name of this process. */
	name: string;
	/** Data centre of this process; its readers are chosen among the entries of this data centre. */
	dataCentre: string;
	log: Log;
	random: Random;
	invariants: Invariants;
	/** Present only in entries, which can reach the store. */
	reader?: ConfigurationReader;
	/** Called with each version that comes into force here. */
	onAdopted(accepted: AcceptedConfiguration): void;
};

/** An adopted change: the version before it, and the names that it changed. */
type AdoptedChange = {from: number; changed: ChangedNames};

/** State of the configuration in this process. */
export type ConfigurationStatus = {
	version: number;
	isReady: boolean;
	/** Whether the last read of the record succeeded; undefined if this process does not read it. */
	isStoreReachable?: boolean;
	/** Versions in force at peers, as last reported; 0 if not reported yet. */
	peers: Array<{peer: string; version: number}>;
};

/** Holds the configuration of one process and exchanges versions with its peers. */
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

	/** The configuration in force. */
	get accepted(): AcceptedConfiguration {
		return this.#accepted;
	}

	/** Whether the store has been read, or the version in force is at least the highest that enough peers report. */
	get isReady(): boolean {
		if (this.#hasReadStore) {
			return true;
		}

		const reportedVersions = [...this.#peers.values()].filter(version => version !== undefined && version > 0);
		const requiredPeers = Math.max(1, Math.min(minPeersForReadiness, this.#peers.size));
		return reportedVersions.length >= requiredPeers && this.#accepted.version >= Math.max(...reportedVersions.map(version => version!));
	}

	describe(): ConfigurationStatus {
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

	/** Adopts a change that an operator made through this process. */
	adoptChange(accepted: AcceptedConfiguration): ConfigurationOutput[] {
		return this.#adopt(accepted);
	}

	/** Reads the record if this process is a reader, and repeats digests. Never rejects. */
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
			// If the store was reset to an older state, the configuration in force must not revert with it.
			return head.version > this.#accepted.version ? this.#adopt(head) : [];
		} catch (error) {
			this.#updateStoreReachable(false);
			log.debug('configuration_unreadable', {reason: describeError(error)});
			return [];
		} finally {
			this.#isReading = false;
		}
	}

	/** Returns whether this process reads the record; one that is not ready does so whatever its rank. */
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
			log.warn('configuration_store_unreachable', {...values, detail: 'continuing with this version; no change can be accepted by this process'});
		}
	}

	#receiveDigest(from: string, {configurationVersion: version}: MessageOf<'digest'>): ConfigurationOutput[] {
		// The first digest after a link came up crosses the one sent from here, which already acts as a request.
		const isRequested = this.#peers.get(from) === undefined;
		this.#peers.set(from, version);
		if (version > this.#accepted.version) {
			return isRequested ? [] : this.#requestUpdate(from, version);
		}

		return version < this.#accepted.version ? [this.#createUpdate(from, version)] : [];
	}

	/** Requests a version by sending the own one, unless the same version was requested from another peer recently. */
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
		// A delta that cannot be applied indicates a gap or a diverged copy; version 0 requests the full configuration.
		return accepted ? this.#adopt(accepted, from) : [{to: from, message: {kind: 'digest', configurationVersion: 0}}];
	}

	#adopt(accepted: AcceptedConfiguration, from?: string): ConfigurationOutput[] {
		const {invariants, log, onAdopted} = this.#settings;
		if (from !== undefined) {
			this.#peers.set(from, Math.max(accepted.version, this.#peers.get(from) ?? 0));
		}

		// Receiving the same version from several peers is normal; a lower one is a fault, and is not adopted either.
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

		const changes = this.#changes.slice(first);
		const changed = {
			profiles: new Set(changes.flatMap(change => [...change.changed.profiles])),
			services: new Set(changes.flatMap(change => [...change.changed.services])),
		};
		return {to, message: {kind: 'configuration-delta', delta: createConfigurationDelta(this.#accepted, changes[0]!.from, changed)}};
	}
}
