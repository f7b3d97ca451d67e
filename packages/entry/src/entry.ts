/**
 * The entry: wires routes, the view of endpoints, the dispatcher and the configuration together.
 */
import {Registry, collectDefaultMetrics} from 'prom-client';
import {addOperationRoutes, HttpServer, type Daemon} from '@wasabiusher/daemon';
import type {Message} from '@wasabiusher/link';
import {HttpMembershipList, HttpObjectStore, HttpTableService} from '@wasabiusher/platform';
import {ConfigurationHistory} from '@wasabiusher/record';
import {
	describeError, emptyConfiguration, hashToNumber, Random, type AcceptedConfiguration, type Configuration, type Log,
} from '@wasabiusher/shared';
import {Dispatcher, Invariants, StepRunner} from '@wasabiusher/systems';
import {answerError} from './answers.js';
import {addCallerRoutes, addUnknownRoute} from './caller-routes.js';
import {addOperatorRoutes} from './operator-routes.js';
import {listUnguarded, type EntrySettings} from './settings.js';
import {describeStatus, type EntryStatus} from './status.js';
import {addStepRoutes} from './step-routes.js';
import {View} from './view.js';

/** How often the head of the configuration is read, in milliseconds. */
const configurationMs = 1000;

/** Key used while none is set; such a process listens on loopback only. */
const loopbackKey = 'loopback';

/** One entry. */
export class Entry implements Daemon {
	readonly #settings: EntrySettings;
	readonly #log: Log;
	readonly #callers = new HttpServer(answerError);
	readonly #operators = new HttpServer(answerError);
	readonly #registry = new Registry();
	readonly #history: ConfigurationHistory;
	readonly #view: View;
	readonly #dispatcher: Dispatcher;
	#accepted: AcceptedConfiguration = emptyConfiguration;
	#timer: NodeJS.Timeout | undefined;
	#addresses = {callers: '', operators: ''};
	#isLeaving = false;

	constructor(settings: EntrySettings, log: Log) {
		this.#settings = settings;
		this.#log = log;
		const random = new Random(hashToNumber(settings.name));
		const [key = loopbackKey, ...otherKeys] = settings.linkKeys;
		this.#history = new ConfigurationHistory(new HttpTableService(settings.platform));
		this.#view = new View({
			identity: {name: settings.name, keys: [key, ...otherKeys]},
			membership: new HttpMembershipList(settings.platform),
			random,
			log,
			dispatcher: () => this.#dispatcher,
			onMessage: (agent, message) => {
				this.#receive(agent, message);
			},
			onUp: agent => {
				this.#view.send(agent, {kind: 'configuration', accepted: this.#accepted});
			},
		});
		this.#dispatcher = new Dispatcher({random, send: (agent, message) => this.#view.send(agent, message)});
		this.#addRoutes();
	}

	/** `ip:port` in use, once started. */
	get addresses(): {callers: string; operators: string} {
		return this.#addresses;
	}

	async start(): Promise<void> {
		await this.#readHead();
		await this.#view.start();
		this.#timer = setInterval(() => {
			void this.#readHead();
		}, configurationMs);
		this.#addresses = {
			callers: await this.#callers.listen(this.#settings.listen),
			operators: await this.#operators.listen(this.#settings.operatorListen),
		};
		this.#log.info('entry_started', {...this.#addresses});
		for (const secret of listUnguarded(this.#settings)) {
			this.#log.warn('loopback_only', {unset: secret});
		}
	}

	async drain(): Promise<void> {
		this.#isLeaving = true;
		clearInterval(this.#timer);
		await Promise.all([this.#callers.close(), this.#operators.close()]);
		this.#view.stop();
	}

	#addRoutes(): void {
		const configuration = (): Configuration => this.#accepted.configuration;
		const dispatcher = this.#dispatcher;
		addOperationRoutes(this.#callers, this.#registry, () => !this.#isLeaving && this.#accepted.version > 0);
		collectDefaultMetrics({register: this.#registry});
		addStepRoutes(this.#callers, {runner: this.#createStepRunner(), tokens: this.#settings.trainerTokens, configuration});
		addCallerRoutes(this.#callers, {dispatcher, configuration});
		addOperatorRoutes(this.#operators, {
			history: this.#history,
			tokens: this.#settings.operatorTokens,
			current: () => this.#accepted,
			adopt: accepted => {
				this.#adopt(accepted);
			},
			status: () => this.#describe(),
		});
		addUnknownRoute(this.#operators);
	}

	#describe(): EntryStatus {
		const {name, dataCentre} = this.#settings;
		return describeStatus({
			name, dataCentre, isLeaving: this.#isLeaving, openCalls: this.#dispatcher.openCalls, accepted: this.#accepted, endpoints: this.#dispatcher.endpoints, quarantine: [], rollouts: [],
		});
	}

	#createStepRunner(): StepRunner {
		const {name, platform} = this.#settings;
		const dispatcher = this.#dispatcher;
		return new StepRunner({
			dispatcher,
			name,
			tables: new HttpTableService(platform),
			objects: new HttpObjectStore(platform),
			invariants: new Invariants(this.#log, this.#registry),
			random: new Random(hashToNumber(`${name}/steps`)),
			log: this.#log,
			registry: this.#registry,
			address: () => this.#addresses.callers,
			listVersions: model => [...dispatcher.endpoints].flatMap(({status}) => status?.models.filter(held => held.model === model).map(({version}) => version) ?? []),
		});
	}

	#receive(agent: string, message: Message): void {
		if (message.kind === 'configuration') {
			this.#adopt(message.accepted, agent);
		} else {
			this.#dispatcher.receive(agent, message);
		}
	}

	async #readHead(): Promise<void> {
		try {
			this.#adopt(await this.#history.readHead());
		} catch (error) {
			this.#log.warn('configuration_unreadable', {reason: describeError(error)});
		}
	}

	/** A version never goes back. */
	#adopt(accepted: AcceptedConfiguration, from?: string): void {
		if (accepted.version <= this.#accepted.version) {
			return;
		}

		this.#accepted = accepted;
		this.#view.broadcast({kind: 'configuration', accepted}, from);
		this.#log.info('configuration_adopted', {version: accepted.version, author: accepted.author});
	}
}
