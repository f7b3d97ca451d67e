/**
 * Runs a whole deployment of stand-ins, agents and entries in one process. They communicate over loopback sockets.
 */
import {Agent, agentSettingsSchema} from '@wasabiusher/agent';
import {Entry, entrySettingsSchema} from '@wasabiusher/entry';
import type {Log} from '@wasabiusher/shared';
import {EngineServer, LedgerServer, PlatformServer} from '@wasabiusher/standins';

/** Numbers, names and settings of the parts of a deployment. */
export type DeploymentSize = {
	dataCentres: string[];
	/** Number of entries. */
	entries: number;
	/** Number of model engines. */
	engines: number;
	/** Number of plain endpoints. */
	plainEndpoints: number;
	/** Names of the two services in the configuration. */
	modelService: string;
	plainService: string;
	/** Maximum number of requests in the running batch of an engine. */
	slots: number;
	/** Time per token, in milliseconds. */
	tokenMs: number;
	/** Models with the versions that engines start with. */
	models: Record<string, number>;
};

/** A running deployment. */
export class Deployment {
	readonly platform = new PlatformServer();
	readonly engines: EngineServer[] = [];
	readonly ledgers: LedgerServer[] = [];
	readonly agents: Agent[] = [];
	readonly entries: Entry[] = [];
	readonly #size: DeploymentSize;
	readonly #createLog: (name: string) => Log;
	#platformOrigin = '';

	/** @param createLog - creates the log of an agent or entry by its name */
	constructor(size: DeploymentSize, createLog: (name: string) => Log) {
		this.#size = size;
		this.#createLog = createLog;
	}

	/** Starts the stand-ins with their agents, then the entries. */
	async start(): Promise<void> {
		const {engines, plainEndpoints, entries, models, slots, tokenMs} = this.#size;
		this.#platformOrigin = await this.platform.start();
		for (const [model, version] of Object.entries(models)) {
			this.platform.publish(model, version);
		}

		await Promise.all([
			...createRange(engines).map(async index => this.#startEngine(index, {slots, tokenMs, models})),
			...createRange(plainEndpoints).map(async index => this.#startLedger(index)),
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
			name: `agent-${this.#size.modelService}-${index}`,
			service: this.#size.modelService,
			endpointKind: 'model',
			endpoint: await engine.start(),
			limit: settings.slots,
			dataCentre: this.#getDataCentre(index),
		});
	}

	async #startLedger(index: number): Promise<void> {
		const ledger = new LedgerServer();
		this.ledgers.push(ledger);
		await this.#startAgent({
			name: `agent-${this.#size.plainService}-${index}`, service: this.#size.plainService, endpointKind: 'plain', endpoint: await ledger.start(), dataCentre: this.#getDataCentre(index),
		});
	}

	async #startAgent(settings: Record<string, string | number>): Promise<void> {
		const agent = new Agent(agentSettingsSchema.parse({...settings, platform: this.#platformOrigin}), this.#createLog(String(settings.name)));
		this.agents.push(agent);
		await agent.start();
	}

	async #startEntry(index: number): Promise<void> {
		const name = `entry-${index}`;
		const entry = new Entry(entrySettingsSchema.parse({name, dataCentre: this.#getDataCentre(index), platform: this.#platformOrigin}), this.#createLog(name));
		this.entries.push(entry);
		await entry.start();
	}

	#getDataCentre(index: number): string {
		const {dataCentres} = this.#size;
		return dataCentres[index % dataCentres.length]!;
	}
}

function createRange(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}
