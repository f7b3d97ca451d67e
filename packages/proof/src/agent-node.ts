/**
 * A simulated agent: the production systems of an agent, connected to the simulated network instead of sockets.
 */
import {EndpointMonitor, PoisonRelay} from '@wasabiusher/agent';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import type {Log, Random} from '@wasabiusher/shared';
import {
	ConfigurationAdopter, Executor, Invariants, type ConfigurationOutput, type Endpoint,
} from '@wasabiusher/systems';
import {adopterMs, isConfigurationMessage} from './configuration-messages.js';
import type {Hooks} from './hooks.js';
import type {Peer, Wire} from './wire.js';

/** Interval at which the agent polls the endpoint's report, in milliseconds. */
const reportMs = 200;

export type AgentNodeSettings = {
	name: string;
	service: string;
	endpoint: Endpoint;
	limit: number;
	wire: Wire;
	hooks: Hooks;
	random: Random;
	log: Log;
};

type Handlers = Partial<{[Kind in Message['kind']]: (from: string, message: MessageOf<Kind>) => void}>;

/** One agent; `kill` ends it as abruptly as the death of a process. */
export class AgentNode implements Peer {
	readonly name: string;
	readonly executor: Executor;
	readonly adopter: ConfigurationAdopter;
	/** Configuration versions in the order in which this agent adopted them. */
	readonly adopted: number[] = [];
	readonly #settings: AgentNodeSettings;
	readonly #watch: EndpointMonitor;
	readonly #poison: PoisonRelay;
	readonly #entries = new Set<string>();
	readonly #timers: NodeJS.Timeout[];
	readonly #handlers: Handlers;
	#isAlive = true;
	#isLeaving = false;

	constructor(settings: AgentNodeSettings) {
		const {name, service, endpoint, limit, log} = settings;
		this.name = name;
		this.#settings = settings;
		this.#poison = new PoisonRelay(name, (message, except) => {
			this.#broadcast(message, except);
		});
		this.executor = new Executor({
			service,
			endpoint,
			limit,
			maxWaiting: 64,
			log,
			send: (peer, message) => this.#send(peer, message),
			judge: fingerprint => this.#poison.judge(fingerprint),
			checkCrash: async () => this.#watch.checkCrash(),
			onFinished: fingerprint => {
				this.#poison.recordFinished(fingerprint);
			},
		});
		this.#watch = new EndpointMonitor(endpoint, {
			onReport: report => {
				this.executor.updateReportedRuns(report.running + report.waiting);
			},
			onCrash: incarnation => {
				this.#poison.recordCrash(incarnation, this.executor.crash());
			},
		});
		this.#handlers = this.#createHandlers();
		this.adopter = new ConfigurationAdopter({
			name,
			dataCentre: 'local',
			log,
			random: settings.random,
			invariants: new Invariants(log),
			onAdopted: ({version}) => {
				this.adopted.push(version);
			},
		});
		this.#timers = [
			setInterval(() => {
				void this.#refresh();
			}, reportMs),
			setInterval(() => {
				void this.#tick();
			}, adopterMs),
		];
	}

	attach(peer: string): void {
		this.#entries.add(peer);
		this.executor.attach(peer);
		this.#sendAll(this.adopter.onLinkUp(peer));
		void this.#refresh();
		const suspicions = this.#poison.list();
		if (suspicions.length > 0) {
			this.#send(peer, {kind: 'suspicions', suspicions});
		}
	}

	detach(peer: string): void {
		this.#entries.delete(peer);
		this.executor.detach(peer);
		this.adopter.onLinkDown(peer);
	}

	receive(from: string, message: Message): void {
		if (!this.#isAlive) {
			return;
		}

		if (isConfigurationMessage(message)) {
			this.#sendAll(this.adopter.receive(from, message));
			return;
		}

		// The table pairs each kind with a handler of that kind's message.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		(this.#handlers[message.kind] as ((from: string, message: Message) => void) | undefined)?.(from, message);
	}

	async drain(): Promise<void> {
		this.#isLeaving = true;
		this.#broadcast({kind: 'status', status: this.#describe()});
		await this.executor.drain();
	}

	/** Ends the agent's process; its endpoint keeps running. */
	kill(): void {
		this.#isAlive = false;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#settings.wire.remove(this.name);
	}

	#createHandlers(): Handlers {
		return {
			open: (from, message) => {
				this.#settings.hooks.pass({step: 'dispatch', entry: from, agent: this.name});
				if (this.#isAlive) {
					this.executor.open(from, message);
				}
			},
			cancel: (from, message) => {
				this.executor.cancel(from, message);
			},
			acknowledge: (from, message) => {
				this.executor.acknowledge(from, message);
			},
			resume: (from, message) => {
				this.executor.resume(from, message);
			},
			suspicions: (from, message) => {
				this.#poison.receive(message, from);
			},
		};
	}

	get isAlive(): boolean {
		return this.#isAlive;
	}

	async #tick(): Promise<void> {
		this.#sendAll(await this.adopter.tick());
	}

	#sendAll(outputs: readonly ConfigurationOutput[]): void {
		for (const {to, message} of outputs) {
			this.#send(to, message);
		}
	}

	async #refresh(): Promise<void> {
		await this.#watch.refresh();
		this.#broadcast({kind: 'status', status: this.#describe()});
	}

	#describe(): EndpointStatus {
		const {isHealthy, report} = this.#watch.state;
		return {
			...this.executor.describe(), models: report?.models ?? [], role: report?.role ?? '', isHealthy, isLeaving: this.#isLeaving, configurationVersion: 0, fence: 0,
		};
	}

	#send(peer: string, message: Message): boolean {
		return this.#isAlive && this.#settings.wire.sendToEntry(this.name, peer, message);
	}

	#broadcast(message: Message, except?: string): void {
		for (const entry of this.#entries) {
			if (entry !== except) {
				this.#send(entry, message);
			}
		}
	}
}
