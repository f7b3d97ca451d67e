/**
 * Keyed calls of an entry: claimed through the entries that gather claims, then dispatched.
 */
import type {Server} from 'node:http';
import type {Identity} from '@wasabiusher/link';
import type {Member, ObjectStore, TableService} from '@wasabiusher/backends';
import {ClaimLog} from '@wasabiusher/record';
import {hashToNumber, Random, type Log} from '@wasabiusher/shared';
import {
	ClaimedCalls, CommitGateway, type Call, type CallListener, type Dispatcher, type Invariants, type Run,
} from '@wasabiusher/systems';
import {EntryPeers} from './entry-peers.js';

export type ClaimsSettings = {
	identity: Identity;
	/** Where links of other entries are accepted. */
	server: Server;
	tables: TableService;
	objects: ObjectStore;
	dispatcher: Pick<Dispatcher, 'submit'>;
	invariants: Invariants;
	log: Log;
	/** Entries of a data centre up to which each commits by itself. */
	maxDirect?: number;
	/** Names of the live entries of this data centre. */
	listEntries(): readonly string[];
};

/** Runs keyed calls, and gathers claims of other entries. */
export class Claims {
	readonly #peers: EntryPeers;
	readonly #commits: CommitGateway;
	readonly #calls: ClaimedCalls;

	constructor({identity, server, tables, objects, dispatcher, invariants, log, maxDirect, listEntries}: ClaimsSettings) {
		const {name} = identity;
		this.#peers = new EntryPeers(server, {
			identity,
			random: new Random(hashToNumber(`${name}/peers`)),
			log,
			onMessage: (entry, message) => {
				this.#commits.receive(entry, message);
			},
			onDown: entry => {
				this.#commits.onLinkDown(entry);
			},
		});
		this.#commits = new CommitGateway({
			name, tables, maxDirect, listEntries, send: (entry, message) => this.#peers.send(entry, message),
		});
		const claims = new ClaimLog({
			tables, objects, name, commits: this.#commits,
		});
		this.#calls = new ClaimedCalls({
			dispatcher, claims, invariants, random: new Random(hashToNumber(`${name}/claims`)), log,
		});
	}

	get openCalls(): number {
		return this.#calls.openCalls;
	}

	/** Whether a link to each entry that gathers is up. */
	get isLinked(): boolean {
		return this.#peers.isLinked;
	}

	submit(call: Call, key: string, listener: CallListener): Run {
		return this.#calls.submit(call, key, listener);
	}

	/** Follows the membership list: links are kept to the entries that gather. */
	follow(members: readonly Member[]): void {
		this.#peers.follow(this.#commits.gatherers, members);
	}

	/** Gathers no more for others; what is under way is answered first. */
	async endGathering(): Promise<void> {
		await this.#peers.endAccepted();
	}

	/** Resolves when all calls have ended and are recorded, or not in time. */
	async drain(): Promise<void> {
		await this.#calls.drain();
		this.#peers.stop();
	}
}
