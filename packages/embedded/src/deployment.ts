/**
 * A whole deployment in one process, over real sockets on loopback: stand-ins, agents and entries.
 */
import {Agent, agentSettingsSchema} from '@wasabiusher/agent';
import {Entry, entrySettingsSchema} from '@wasabiusher/entry';
import type {Log} from '@wasabiusher/shared';
import {EngineServer, LedgerServer, PlatformServer} from '@wasabiusher/standins';

export type DeploymentSize = {
	dataCentres: string[];
	entries: number;
	engines: number;
	ledgers: number;
	/** Requests that an engine batches. */
	slots: number;
	tokenMs: number;
	/** Models and the versions that engines start with. */
	models: Record<string, number>;
};

/** Names of the services that the stand-ins serve. */
export const serviceNames = {model: 'models', plain: 'ledger'} as const;

/** A running deployment. */
export class Deployment {
	readonly platform = new PlatformServer();
	readonly engines: EngineServer[] = [];
	readonly ledgers: LedgerServer[] = [];
	readonly agents: Agent[] = [];
	readonly entries: Entry[] = [];
	readonly #size: DeploymentSize;
	readonly #log: Log;
	#platformOrigin = '';

	constructor(size: DeploymentSize, log: Log) {
		this.#size = size;
		this.#log = log;
	}

	async start(): Promise<void> {
		const {engines, ledgers, entries, models, slots, tokenMs} = this.#size;
		this.#platformOrigin = await this.platform.start();
		for (const [model, version] of Object.entries(models)) {
			this.platform.publish(model, version);
		}

		await Promise.all([
			...createRange(engines).map(async index => this.#startEngine(index, {slots, tokenMs, models})),
			...createRange(ledgers).map(async index => this.#startLedger(index)),
		]);
		await Promise.all(createRange(entries).map(async index => this.#startEntry(index)));
	}

	/** Drains entries and agents, then stops the stand-ins. */
	async stop(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.drain()));
		await Promise.all(this.agents.map(async agent => agent.drain()));
		await Promise.all([...this.engines, ...this.ledgers, this.platform].map(async server => server.stop()));
	}

	async #startEngine(index: number, settings: ConstructorParameters<typeof EngineServer>[0]): Promise<void> {
		const engine = new EngineServer(settings);
		this.engines.push(engine);
		await this.#startAgent({
			name: `agent-engine-${index}`, service: serviceNames.model, endpointKind: 'model', endpoint: await engine.start(), limit: settings.slots, dataCentre: this.#placeOf(index),
		});
	}

	async #startLedger(index: number): Promise<void> {
		const ledger = new LedgerServer();
		this.ledgers.push(ledger);
		await this.#startAgent({
			name: `agent-ledger-${index}`, service: serviceNames.plain, endpointKind: 'plain', endpoint: await ledger.start(), dataCentre: this.#placeOf(index),
		});
	}

	async #startAgent(settings: Record<string, string | number>): Promise<void> {
		const agent = new Agent(agentSettingsSchema.parse({...settings, platform: this.#platformOrigin}), this.#log);
		this.agents.push(agent);
		await agent.start();
	}

	async #startEntry(index: number): Promise<void> {
		const entry = new Entry(entrySettingsSchema.parse({name: `entry-${index}`, dataCentre: this.#placeOf(index), platform: this.#platformOrigin}), this.#log);
		this.entries.push(entry);
		await entry.start();
	}

	#placeOf(index: number): string {
		const {dataCentres} = this.#size;
		return dataCentres[index % dataCentres.length]!;
	}
}

function createRange(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}
