/**
 * Runs the keyed calls of an entry: claims the key through the entries that batch the commits of claims, then dispatches the call.
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
	/** Accepts links from other entries. */
	server: Server;
	tables: TableService;
	objects: ObjectStore;
	dispatcher: Pick<Dispatcher, 'submit'>;
	invariants: Invariants;
	log: Log;
	/** Number of entries in a data centre up to which each commits its own claims. */
	maxDirect?: number;
	/** Names of the live entries of this data centre. */
	listEntries(): readonly string[];
};

/** Runs keyed calls, and commits claims on behalf of other entries. */
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
			name, tables, maxDirectEntries: maxDirect, listEntries, send: (entry, message) => this.#peers.send(entry, message),
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

	/** Whether the links to all gatherers (entries that commit claims for others) are up. */
	get isLinked(): boolean {
		return this.#peers.isLinked;
	}

	submit(call: Call, key: string, listener: CallListener): Run {
		return this.#calls.submit(call, key, listener);
	}

	/** Applies the membership list: keeps links to the gatherers. */
	follow(members: readonly Member[]): void {
		this.#peers.follow(this.#commits.gatherers, members);
	}

	/** Stops committing claims of other entries. Resolves once the requests in flight are answered. */
	async stopGathering(): Promise<void> {
		await this.#peers.endAccepted();
	}

	/** Resolves when all calls have ended and are recorded, or the maximum wait of `ClaimedCalls.drain` has passed. */
	async drain(): Promise<void> {
		await this.#calls.drain();
		this.#peers.stop();
	}
}
