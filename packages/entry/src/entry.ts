/**
 * The entry process: connects the routes, the links to agents, the dispatcher and the configuration.
 */
import {Registry, collectDefaultMetrics} from 'prom-client';
import {addOperationRoutes, HttpServer, type Daemon} from '@wasabiusher/daemon';
import type {Identity, Message} from '@wasabiusher/link';
import {platformAdapters, type Member, type Platform} from '@wasabiusher/backends';
import {ConfigurationHistory} from '@wasabiusher/record';
import {
	hashToNumber, Random, type AcceptedConfiguration, type Configuration, type Log,
} from '@wasabiusher/shared';
import {
	createStepEndpoints, Dispatcher, Invariants, ObjectiveMetrics, StepRunner, type CallRecord,
} from '@wasabiusher/systems';
import {Announcer} from './announcer.js';
import {answerError} from './answers.js';
import {addCallerRoutes, addUnknownRoute, type CallerRoutes} from './caller-routes.js';
import {Claims} from './claims.js';
import {ConfigurationLink, isConfigurationMessage} from './configuration-link.js';
import {createControl, type Control} from './control.js';
import {DrainNotice} from './drain-notice.js';
import {EntryMetrics} from './metrics.js';
import {addOperatorRoutes} from './operator-routes.js';
import {listMissingSecrets, type EntrySettings} from './settings.js';
import {describeStatus, type EntryStatus} from './status.js';
import {addStepRoutes} from './step-routes.js';
import {AgentLinks} from './agent-links.js';

/**
 * Maximum wait of a drain for samples in progress, in milliseconds; most rollouts end within it.
 * The entry that resumes the step generates the remaining samples again, so none is lost.
 */
const stepGraceMs = 30_000;

/** Link key used if none is set; such a process listens on loopback only. */
const loopbackKey = 'loopback';

/** An entry process. */
export class Entry implements Daemon {
	readonly #settings: EntrySettings;
	readonly #log: Log;
	readonly #callers = new HttpServer(answerError);
	readonly #operators = new HttpServer(answerError);
	readonly #registry = new Registry();
	readonly #drainNotice = new DrainNotice();
	readonly #platform: Platform;
	readonly #history: ConfigurationHistory;
	readonly #invariants: Invariants;
	readonly #metrics: EntryMetrics;
	readonly #dispatcher: Dispatcher;
	readonly #claims: Claims;
	readonly #steps: StepRunner;
	readonly #agentLinks: AgentLinks;
	readonly #configuration: ConfigurationLink;
	readonly #announcer: Announcer;
	readonly #objectives: ObjectiveMetrics;
	readonly #control: Control;
	#addresses = {callers: '', operators: ''};
	#isLeaving = false;

	constructor(settings: EntrySettings, log: Log) {
		this.#settings = settings;
		this.#log = log;
		this.#platform = platformAdapters.http(settings.platform);
		this.#history = new ConfigurationHistory(this.#platform.tables);
		this.#invariants = new Invariants(log, this.#registry);
		this.#metrics = new EntryMetrics(this.#registry, () => this.#readState());
		this.#dispatcher = this.#createDispatcher();
		this.#claims = this.#createClaims();
		this.#objectives = new ObjectiveMetrics(this.#registry, () => this.#configuration.accepted.configuration.profiles);
		this.#steps = this.#createStepRunner();
		this.#agentLinks = this.#createAgentLinks();
		this.#configuration = this.#createConfigurationLink();
		this.#announcer = new Announcer(this.#platform.members, log, () => this.#createMember());
		this.#control = this.#createControl();
		collectDefaultMetrics({register: this.#registry});
		this.#addRoutes();
	}

	/** Listening addresses as `ip:port`; empty before `start` resolves. */
	get addresses(): {callers: string; operators: string} {
		return this.#addresses;
	}

	async start(): Promise<void> {
		await this.#configuration.start();
		await this.#agentLinks.start();
		this.#addresses = {
			callers: await this.#callers.listen(this.#settings.listen),
			operators: await this.#operators.listen(this.#settings.operatorListen),
		};
		await this.#announcer.start();
		this.#control.start();
		this.#log.info('entry_started', {...this.#addresses});
		for (const secret of listMissingSecrets(this.#settings)) {
			this.#log.warn('loopback_only', {unset: secret});
		}
	}

	/** Accepts no new work; resolves when all accepted work has ended. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		void this.#announcer.announce();
		const released = this.#control.stop();
		await this.#drainNotice.waitForBalancer();
		await this.#claims.stopGathering();
		const handedOver = this.#steps.drain(stepGraceMs);
		await this.#closeCallers();
		await handedOver;
		await released;
		await this.#claims.drain();
		this.#invariants.checkNothingOpen(this.#dispatcher.openCalls + this.#claims.openCalls);
		this.#configuration.stop();
		this.#announcer.stop();
		await this.#operators.close();
		this.#agentLinks.stop();
	}

	get #identity(): Identity {
		const {name, linkKeys: [key = loopbackKey, ...otherKeys]} = this.#settings;
		return {name, keys: [key, ...otherKeys]};
	}

	get #isReady(): boolean {
		return !this.#isLeaving && this.#configuration.isReady;
	}

	#createDispatcher(): Dispatcher {
		const {name, dataCentre} = this.#settings;
		return new Dispatcher({
			random: new Random(hashToNumber(name)),
			dataCentre,
			invariants: this.#invariants,
			send: (agent, message) => this.#agentLinks.send(agent, message),
			broadcast: (message, except) => {
				this.#agentLinks.broadcast(message, except);
			},
			onEnded: record => {
				this.#record(record);
			},
		});
	}

	#record(record: CallRecord): void {
		this.#metrics.recordCall(record);
		// A call that its caller cancelled is neither in time nor late.
		if (record.outcome !== 'cancelled') {
			this.#objectives.record(record.call.profileName, 'answeredInTime', record.outcome === 'answered');
		}
	}

	#createControl(): Control {
		const {name} = this.#settings;
		const {tables, weights} = this.#platform;
		return createControl({
			name,
			tables,
			weights,
			random: new Random(hashToNumber(`${name}/control`)),
			log: this.#log,
			listEntries: () => this.#agentLinks.entries,
			listEndpoints: () => this.#dispatcher.endpoints,
			send: (agent, message) => this.#agentLinks.send(agent, message),
		});
	}

	#createClaims(): Claims {
		const {tables, objects} = this.#platform;
		return new Claims({
			identity: this.#identity,
			server: this.#callers.server,
			tables,
			objects,
			dispatcher: this.#dispatcher,
			invariants: this.#invariants,
			log: this.#log,
			listEntries: () => this.#agentLinks.entries,
		});
	}

	#createAgentLinks(): AgentLinks {
		const {name, dataCentre, region} = this.#settings;
		return new AgentLinks({
			identity: this.#identity,
			dataCentre,
			region,
			membership: this.#platform.members,
			random: new Random(hashToNumber(`${name}/links`)),
			log: this.#log,
			dispatcher: () => this.#dispatcher,
			onMessage: (agent, message) => {
				this.#receive(agent, message);
			},
			onUp: agent => {
				this.#configuration.onLinkUp(agent);
			},
			onDown: agent => {
				this.#configuration.onLinkDown(agent);
				this.#metrics.recordLinkLoss();
			},
			onMembers: members => {
				this.#claims.follow(members);
			},
		});
	}

	#createConfigurationLink(): ConfigurationLink {
		const {name, dataCentre} = this.#settings;
		return new ConfigurationLink({
			name,
			dataCentre,
			log: this.#log,
			random: new Random(hashToNumber(`${name}/configuration`)),
			invariants: this.#invariants,
			reader: {history: this.#history, listEntries: () => [...this.#agentLinks.entries]},
			send: (agent, message) => this.#agentLinks.send(agent, message),
		});
	}

	#addRoutes(): void {
		const configuration = (): Configuration => this.#configuration.accepted.configuration;
		addOperationRoutes(this.#callers, this.#registry, () => {
			this.#drainNotice.recordCheck();
			return this.#isReady;
		});
		addOperationRoutes(this.#operators, this.#registry, () => this.#isReady);
		addStepRoutes(this.#callers, {runner: this.#steps, tokens: this.#settings.trainerTokens, configuration});
		addCallerRoutes(this.#callers, {submit: this.#createSubmit(), configuration});
		addOperatorRoutes(this.#operators, {
			history: this.#history,
			tokens: this.#settings.operatorTokens,
			current: () => this.#configuration.accepted,
			adopt: accepted => {
				this.#configuration.offer(accepted);
			},
			status: () => this.#describe(),
		});
		addUnknownRoute(this.#operators);
	}

	/** Claims calls with an idempotency key whose profile is not idempotent, since they must run at most once; dispatches all others directly. */
	#createSubmit(): CallerRoutes['submit'] {
		return (call, listener, key) => key === undefined || call.profile.idempotent
			? this.#dispatcher.submit(call, listener)
			: this.#claims.submit(call, key, listener);
	}

	#createStepRunner(): StepRunner {
		const {name} = this.#settings;
		const {tables, objects} = this.#platform;
		const dispatcher = this.#dispatcher;
		return new StepRunner({
			dispatcher,
			name,
			tables,
			objects,
			invariants: this.#invariants,
			random: new Random(hashToNumber(`${name}/steps`)),
			log: this.#log,
			registry: this.#registry,
			objectives: this.#objectives,
			address: () => this.#addresses.callers,
			endpoints: createStepEndpoints(dispatcher.endpoints),
		});
	}

	#receive(agent: string, message: Message): void {
		if (isConfigurationMessage(message)) {
			this.#configuration.receive(agent, message);
		} else {
			this.#dispatcher.receive(agent, message);
			this.#control.onMessage(agent, message);
		}
	}

	/** Resolves when the last caller has its answer, or at the drain limit of the settings. */
	async #closeCallers(): Promise<void> {
		const {drainLimitMs} = this.#settings;
		const timer = drainLimitMs === undefined
			? undefined
			: setTimeout(() => {
				this.#log.warn('drain_limit_reached', {open: this.#dispatcher.openCalls});
				void this.#callers.kill();
			}, drainLimitMs);
		await this.#callers.close();
		clearTimeout(timer);
	}

	#createMember(): Member {
		const {name, dataCentre, region} = this.#settings;
		return {
			id: name, role: 'entry', address: this.#addresses.callers, dataCentre, region, state: this.#isLeaving ? 'leaving' : 'live',
		};
	}

	#readState() {
		const {up, all} = this.#agentLinks.counts;
		return {
			openCalls: this.#dispatcher.openCalls + this.#claims.openCalls,
			draining: this.#dispatcher.drainingAttempts,
			linksUp: up,
			links: all,
			configurationVersion: this.#configuration.accepted.version,
			isReady: this.#isReady,
		};
	}

	#describe(): EntryStatus {
		const {name, dataCentre} = this.#settings;
		const {accepted} = this.#configuration;
		return describeStatus({
			name,
			dataCentre,
			isLeaving: this.#isLeaving,
			openCalls: this.#dispatcher.openCalls,
			accepted,
			isStoreReachable: this.#configuration.describe().isStoreReachable,
			endpoints: this.#dispatcher.endpoints,
			quarantine: this.#dispatcher.describeQuarantine(),
			rollouts: this.#control.describe(),
		});
	}
}
