/**
 * A simulated cluster: entries, agents and endpoints that share one network and one store, under a fake clock.
 */
import {Log, Random, type Profile} from '@wasabiusher/shared';
import {MemoryObjectStore, MemoryTableService} from '@wasabiusher/standins';
import {AgentNode} from './agent-node.js';
import {EntryNode} from './entry-node.js';
import {FakeEngine} from './fake-engine.js';
import {FakeLedger, type Postings} from './fake-ledger.js';
import {Hooks} from './hooks.js';
import {Wire} from './wire.js';

/** Maximum number of concurrent requests per endpoint. */
const limit = 4;

/** Latency of each store operation, in milliseconds. Without it, concurrent writes would never overlap. */
export const storeDelayMs = 5;

export type WorldSize = {entries: number; engines: number; ledgers: number};

/** The smallest size that covers every case: one process of each kind can fail while another remains. */
export const smallWorld: WorldSize = {entries: 2, engines: 3, ledgers: 2};

/** Request profiles that the runs use. */
export const profiles: Readonly<Record<'query' | 'posting' | 'rollout', Profile>> = {
	query: {
		class: 'interactive', priority: 5, idempotent: true, deadlineMs: 20_000, share: 1, hedge: true, objective: {},
	},
	posting: {
		class: 'interactive', priority: 5, idempotent: false, deadlineMs: 20_000, share: 1, hedge: false, objective: {},
	},
	rollout: {
		class: 'rollout', priority: 5, idempotent: true, deadlineMs: 20_000, share: 1, hedge: false, objective: {}, freshness: {versions: 1},
	},
};

/** The model that all engines serve. */
export const modelName = 'm';

/** The state of one run: the simulated processes, network, store and endpoints. */
export class World {
	readonly hooks = new Hooks();
	readonly wire = new Wire();
	readonly tables = new MemoryTableService({delayMs: storeDelayMs});
	readonly objects = new MemoryObjectStore();
	readonly postings: Postings = new Map();
	readonly engines: FakeEngine[] = [];
	readonly ledgers: FakeLedger[] = [];
	readonly agents: AgentNode[] = [];
	readonly entries: EntryNode[] = [];
	readonly random: Random;
	/** Log lines of invariants that the systems under test reported as broken. */
	readonly brokenInvariants: string[] = [];
	readonly #log = new Log('proof', 'error', line => {
		if (line.includes('event=invariant_broken')) {
			this.brokenInvariants.push(line);
		}
	});

	#names = 0;

	constructor(seed: number, size: WorldSize = smallWorld) {
		this.random = new Random(seed);
		for (let index = 0; index < size.engines; index += 1) {
			this.engines.push(new FakeEngine(`engine-${index}`, {[modelName]: 1}, this.hooks));
			this.startAgent(`engine-${index}`);
		}

		for (let index = 0; index < size.ledgers; index += 1) {
			this.ledgers.push(new FakeLedger(`ledger-${index}`, this.postings, this.hooks));
			this.startAgent(`ledger-${index}`);
		}

		for (let index = 0; index < size.entries; index += 1) {
			this.startEntry(`entry-${index}`);
		}
	}

	/** Starts an agent for the endpoint of the same name, and connects it to all running entries. */
	startAgent(name: string): AgentNode {
		const engine = this.engines.find(other => other.name === name);
		const ledger = this.ledgers.find(other => other.name === name);
		const agent = new AgentNode({
			name,
			service: engine ? 'models' : 'ledger',
			endpoint: engine ? {kind: 'model', engine} : {kind: 'plain', service: ledger!},
			limit,
			wire: this.wire,
			hooks: this.hooks,
			random: this.random,
			log: this.#log,
		});
		this.agents.push(agent);
		for (const entry of this.entries.filter(({isAlive}) => isAlive)) {
			this.wire.connect(entry, agent);
		}

		return agent;
	}

	startEntry(name: string): EntryNode {
		const entry = new EntryNode({
			name, tables: this.tables, objects: this.objects, wire: this.wire, hooks: this.hooks, random: this.random, log: this.#log,
		});
		this.entries.push(entry);
		for (const agent of this.agents) {
			this.wire.connect(entry, agent);
		}

		return entry;
	}

	/** Kills an agent and starts a new one for the same endpoint after `afterMs` milliseconds. */
	restartAgent(name: string, afterMs: number): void {
		const index = this.agents.findIndex(agent => agent.name === name);
		// The agent is already dead, and its restart is scheduled.
		if (index === -1) {
			return;
		}

		const [agent] = this.agents.splice(index, 1);
		agent!.kill();
		setTimeout(() => {
			this.startAgent(name);
		}, afterMs);
	}

	/** Kills an entry and starts one with a new name after `afterMs` milliseconds. */
	replaceEntry(name: string, afterMs: number): void {
		this.entries.find(entry => entry.name === name)?.kill();
		setTimeout(() => {
			this.#names += 1;
			this.startEntry(`${name}-${this.#names}`);
		}, afterMs);
	}

	/** Picks a running entry in round-robin order; undefined if none is running. */
	pickEntry(turn: number): EntryNode | undefined {
		const living = this.entries.filter(({isAlive}) => isAlive);
		return living[turn % living.length];
	}

	findEndpoint(name: string): FakeEngine | FakeLedger {
		return [...this.engines, ...this.ledgers].find(other => other.name === name)!;
	}
}
