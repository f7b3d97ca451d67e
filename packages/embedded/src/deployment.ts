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
	/** Plain endpoints. */
	plains: number;
	/** Names of the two services, as the configuration has them. */
	modelService: string;
	plainService: string;
	/** Requests that an engine batches. */
	slots: number;
	tokenMs: number;
	/** Models and the versions that engines start with. */
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

	/** @param createLog - gives each process a log of its name */
	constructor(size: DeploymentSize, createLog: (name: string) => Log) {
		this.#size = size;
		this.#createLog = createLog;
	}

	async start(): Promise<void> {
		const {engines, plains, entries, models, slots, tokenMs} = this.#size;
		this.#platformOrigin = await this.platform.start();
		for (const [model, version] of Object.entries(models)) {
			this.platform.publish(model, version);
		}

		await Promise.all([
			...createRange(engines).map(async index => this.#startEngine(index, {slots, tokenMs, models})),
			...createRange(plains).map(async index => this.#startLedger(index)),
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
			dataCentre: this.#placeOf(index),
		});
	}

	async #startLedger(index: number): Promise<void> {
		const ledger = new LedgerServer();
		this.ledgers.push(ledger);
		await this.#startAgent({
			name: `agent-${this.#size.plainService}-${index}`, service: this.#size.plainService, endpointKind: 'plain', endpoint: await ledger.start(), dataCentre: this.#placeOf(index),
		});
	}

	async #startAgent(settings: Record<string, string | number>): Promise<void> {
		const agent = new Agent(agentSettingsSchema.parse({...settings, platform: this.#platformOrigin}), this.#createLog(String(settings.name)));
		this.agents.push(agent);
		await agent.start();
	}

	async #startEntry(index: number): Promise<void> {
		const name = `entry-${index}`;
		const entry = new Entry(entrySettingsSchema.parse({name, dataCentre: this.#placeOf(index), platform: this.#platformOrigin}), this.#createLog(name));
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
