/**
 * The entry: wires routes, the view of endpoints, the dispatcher and the configuration together.
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
import {listUnguarded, type EntrySettings} from './settings.js';
import {describeStatus, type EntryStatus} from './status.js';
import {addStepRoutes} from './step-routes.js';
import {View} from './view.js';

/**
 * Longest wait of a drain for the samples under way, in milliseconds: most rollouts end within
 * it. Longer ones are drawn again by the entry that goes on with the step, and none is lost.
 */
const stepGraceMs = 30_000;

/** Key used while none is set; such a process listens on loopback only. */
const loopbackKey = 'loopback';

/** One entry. */
export class Entry implements Daemon {
	readonly #settings: EntrySettings;
	readonly #log: Log;
	readonly #callers = new HttpServer(answerError);
	readonly #operators = new HttpServer(answerError);
	readonly #registry = new Registry();
	readonly #notice = new DrainNotice();
	readonly #platform: Platform;
	readonly #history: ConfigurationHistory;
	readonly #invariants: Invariants;
	readonly #metrics: EntryMetrics;
	readonly #dispatcher: Dispatcher;
	readonly #claims: Claims;
	readonly #steps: StepRunner;
	readonly #view: View;
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
		this.#view = this.#createView();
		this.#configuration = this.#createConfiguration();
		this.#announcer = new Announcer(this.#platform.members, log, () => this.#createMember());
		this.#control = this.#createControl();
		collectDefaultMetrics({register: this.#registry});
		this.#addRoutes();
	}

	/** `ip:port` in use, once started. */
	get addresses(): {callers: string; operators: string} {
		return this.#addresses;
	}

	async start(): Promise<void> {
		await this.#configuration.start();
		await this.#view.start();
		this.#addresses = {
			callers: await this.#callers.listen(this.#settings.listen),
			operators: await this.#operators.listen(this.#settings.operatorListen),
		};
		await this.#announcer.start();
		this.#control.start();
		this.#log.info('entry_started', {...this.#addresses});
		for (const secret of listUnguarded(this.#settings)) {
			this.#log.warn('loopback_only', {unset: secret});
		}
	}

	/** Takes no new work; resolves when all that was taken has ended. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		void this.#announcer.announce();
		const released = this.#control.stop();
		await this.#notice.give();
		await this.#claims.endGathering();
		const handedOver = this.#steps.drain(stepGraceMs);
		await this.#closeCallers();
		await handedOver;
		await released;
		await this.#claims.drain();
		this.#invariants.checkNothingCutOff(this.#dispatcher.openCalls + this.#claims.openCalls);
		this.#configuration.stop();
		this.#announcer.stop();
		await this.#operators.close();
		this.#view.stop();
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
			send: (agent, message) => this.#view.send(agent, message),
			broadcast: (message, except) => {
				this.#view.broadcast(message, except);
			},
			onEnded: record => {
				this.#record(record);
			},
		});
	}

	#record(record: CallRecord): void {
		this.#metrics.recordCall(record);
		// A caller that went away had its answer neither in time nor late.
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
			listEntries: () => this.#view.entries,
			listEndpoints: () => this.#dispatcher.endpoints,
			send: (agent, message) => this.#view.send(agent, message),
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
			listEntries: () => this.#view.entries,
		});
	}

	#createView(): View {
		const {name, dataCentre, region} = this.#settings;
		return new View({
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

	#createConfiguration(): ConfigurationLink {
		const {name, dataCentre} = this.#settings;
		return new ConfigurationLink({
			name,
			dataCentre,
			log: this.#log,
			random: new Random(hashToNumber(`${name}/configuration`)),
			invariants: this.#invariants,
			reader: {history: this.#history, listEntries: () => [...this.#view.entries]},
			send: (agent, message) => this.#view.send(agent, message),
		});
	}

	#addRoutes(): void {
		const configuration = (): Configuration => this.#configuration.accepted.configuration;
		addOperationRoutes(this.#callers, this.#registry, () => {
			this.#notice.recordCheck();
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

	/** A call with a key that must run at most once is claimed first; all others go straight on. */
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

	/** Ends when the last caller has its answer, or at the limit that the settings give. */
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
		const {up, all} = this.#view.counts;
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
