/**
 * A simulated entry: the production systems of an entry, connected to the simulated network instead of sockets.
 */
import type {Message} from '@wasabiusher/link';
import type {ConditionalWrite, ObjectStore, TableService} from '@wasabiusher/backends';
import {ClaimLog, ConfigurationHistory} from '@wasabiusher/record';
import type {Log, Random} from '@wasabiusher/shared';
import {
	ClaimedCalls, ConfigurationAdopter, createStepEndpoints, Dispatcher, Invariants, StepRunner, type Call, type CallListener, type ConfigurationOutput, type Run,
} from '@wasabiusher/systems';
import type {Hooks} from './hooks.js';
import {createNodeObjects, createNodeTables, type Life} from './node-storage.js';
import {adopterMs, isConfigurationMessage} from './configuration-messages.js';
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

/** The run of a call that was submitted to a dead entry; it does nothing. */
const lostRun: Run = {cancel: () => undefined, pause: () => undefined, resume: () => undefined};

/** One entry; `kill` ends it as abruptly as the death of a process. */
export class EntryNode implements Peer {
	readonly name: string;
	readonly dispatcher: Dispatcher;
	readonly steps: StepRunner;
	readonly history: ConfigurationHistory;
	readonly adopter: ConfigurationAdopter;
	/** Configuration versions in the order in which this entry adopted them. */
	readonly adopted: number[] = [];
	readonly #settings: EntryNodeSettings;
	readonly #claimed: ClaimedCalls;
	readonly #peers = new Set<string>();
	readonly #timer: NodeJS.Timeout;
	readonly #life: Life;

	constructor(settings: EntryNodeSettings) {
		const {name, wire, random, log} = settings;
		const invariants = new Invariants(log);
		this.name = name;
		this.#settings = settings;
		this.#life = {
			isAlive: true,
			onWrite: writes => {
				this.#passWrites(writes);
			},
		};
		const tables = createNodeTables(settings.tables, this.#life);
		const objects = createNodeObjects(settings.objects, this.#life);
		const send = (agent: string, message: Message) => this.#life.isAlive && wire.sendToAgent(name, agent, message);
		this.dispatcher = new Dispatcher({
			random,
			invariants,
			send,
			broadcast: (message, except) => {
				for (const peer of this.#peers) {
					if (peer !== except) {
						send(peer, message);
					}
				}
			},
		});
		this.#claimed = new ClaimedCalls({
			dispatcher: this.dispatcher, claims: new ClaimLog({tables, objects, name}), invariants, random, log,
		});
		this.steps = new StepRunner({
			dispatcher: this.dispatcher,
			name,
			tables,
			objects,
			invariants,
			random,
			log,
			address: () => name,
			endpoints: createStepEndpoints(this.dispatcher.endpoints),
		});
		this.history = new ConfigurationHistory(tables);
		this.adopter = new ConfigurationAdopter({
			name,
			dataCentre: 'local',
			log,
			random,
			invariants,
			reader: {history: this.history, listEntries: () => [name]},
			onAdopted: ({version}) => {
				this.adopted.push(version);
				settings.hooks.pass({step: 'adopt', entry: name});
			},
		});
		this.#timer = setInterval(() => {
			void this.#tick();
		}, adopterMs);
		void this.#tick();
	}

	get isAlive(): boolean {
		return this.#life.isAlive;
	}

	attach(peer: string): void {
		this.#peers.add(peer);
		this.dispatcher.attach(peer, 'local');
		this.send(this.adopter.onLinkUp(peer));
	}

	detach(peer: string): void {
		this.#peers.delete(peer);
		this.dispatcher.detach(peer);
		this.adopter.onLinkDown(peer);
	}

	/** Sends the messages that the configuration adopter returned. */
	send(outputs: readonly ConfigurationOutput[]): void {
		for (const {to, message} of this.#life.isAlive ? outputs : []) {
			this.#settings.wire.sendToAgent(this.name, to, message);
		}
	}

	receive(from: string, message: Message): void {
		if (!this.#life.isAlive) {
			return;
		}

		if (message.kind === 'part' && message.event.kind === 'finished') {
			this.#settings.hooks.pass({step: 'deliver', entry: this.name, agent: from});
		}

		if (!this.#life.isAlive) {
			return;
		}

		if (isConfigurationMessage(message)) {
			this.send(this.adopter.receive(from, message));
		} else {
			this.dispatcher.receive(from, message);
		}
	}

	/** Submits a call, under its idempotency key if it has one. The listener gets no events after the entry's death. */
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
		clearInterval(this.#timer);
		this.steps.stop();
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

	async #tick(): Promise<void> {
		this.send(await this.adopter.tick());
	}

	/** Passes the steps that store writes stand for. */
	#passWrites(writes: readonly ConditionalWrite[]): void {
		const tables = new Set(writes.map(({table}) => table));
		const isFirst = writes.every(({expect}) => expect === 0);
		const steps = {claims: isFirst ? 'claim' : 'complete', samples: 'commit', configuration: 'write'} as const;
		for (const [table, step] of Object.entries(steps)) {
			if (tables.has(table)) {
				this.#settings.hooks.pass({step, entry: this.name});
			}
		}
	}
}
