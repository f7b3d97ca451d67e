/**
 * An entry of the proof: the real systems of an entry, with the wire in place of sockets.
 */
import type {Message} from '@wasabiusher/link';
import type {ConditionalWrite, ObjectStore, TableService} from '@wasabiusher/platform';
import {ClaimLog} from '@wasabiusher/record';
import type {Log, Random} from '@wasabiusher/shared';
import {
	ClaimedCalls, Dispatcher, Invariants, type Call, type CallListener, type Run,
} from '@wasabiusher/systems';
import type {Hooks} from './hooks.js';
import {createNodeObjects, createNodeTables, type Life} from './node-storage.js';
import type {Peer, Wire} from './wire.js';

export type EntryNodeSettings = {
	name: string;
	tables: TableService;
	objects: ObjectStore;
	wire: Wire;
	hooks: Hooks;
	random: Random;
	log: Log;
};

/** The run of a call that came to an entry that is gone. */
const lostRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** One entry; `kill` makes it vanish as a process does. */
export class EntryNode implements Peer {
	readonly name: string;
	readonly dispatcher: Dispatcher;
	readonly #settings: EntryNodeSettings;
	readonly #claimed: ClaimedCalls;
	readonly #life: Life;

	constructor(settings: EntryNodeSettings) {
		const {name, wire, random, log} = settings;
		this.name = name;
		this.#settings = settings;
		this.#life = {
			isAlive: true,
			onWrite: writes => {
				this.#passClaims(writes);
			},
		};
		this.dispatcher = new Dispatcher({
			random,
			send: (agent, message) => this.#life.isAlive && wire.sendToAgent(name, agent, message),
		});
		this.#claimed = new ClaimedCalls({
			dispatcher: this.dispatcher,
			claims: new ClaimLog({tables: createNodeTables(settings.tables, this.#life), objects: createNodeObjects(settings.objects, this.#life), name}),
			invariants: new Invariants(log),
			random,
			log,
		});
	}

	get isAlive(): boolean {
		return this.#life.isAlive;
	}

	attach(peer: string): void {
		this.dispatcher.attach(peer, 'local');
	}

	detach(peer: string): void {
		this.dispatcher.detach(peer);
	}

	receive(from: string, message: Message): void {
		if (!this.#life.isAlive) {
			return;
		}

		if (message.kind === 'part' && message.event.kind === 'finished') {
			this.#settings.hooks.pass({step: 'deliver', entry: this.name, agent: from});
		}

		if (this.#life.isAlive) {
			this.dispatcher.receive(from, message);
		}
	}

	/** Takes a call, with a key if it has one; nothing is heard of it once the entry is gone. */
	submit(call: Call, listener: CallListener, key?: string): Run {
		this.#settings.hooks.pass({step: 'admit', entry: this.name});
		if (!this.#life.isAlive) {
			return lostRun;
		}

		const guarded = this.#guard(listener);
		return key === undefined ? this.dispatcher.submit(call, guarded) : this.#claimed.submit(call, key, guarded);
	}

	kill(): void {
		this.#life.isAlive = false;
		this.#settings.wire.remove(this.name);
	}

	#guard(listener: CallListener): CallListener {
		return {
			onEvent: (event, attempt) => {
				if (this.#life.isAlive) {
					listener.onEvent(event, attempt);
				}
			},
			onRestart: () => this.#life.isAlive && listener.onRestart(),
			onFailed: problem => {
				if (this.#life.isAlive) {
					listener.onFailed(problem);
				}
			},
		};
	}

	/** The first write of a claim and its completion are steps of the path. */
	#passClaims(writes: readonly ConditionalWrite[]): void {
		for (const {table, expect} of writes) {
			if (table === 'claims') {
				this.#settings.hooks.pass({step: expect === 0 ? 'claim' : 'complete', entry: this.name});
			}
		}
	}
}
