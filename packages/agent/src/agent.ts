/**
 * The agent process: connects the links, the executor, the order handler and the endpoint.
 */
import {Registry, collectDefaultMetrics} from 'prom-client';
import {addOperationRoutes, HttpServer, type Daemon} from '@wasabiusher/daemon';
import {
	LinkServer, type EndpointStatus, type Link, type Message, type MessageOf,
} from '@wasabiusher/link';
import {
	engineAdapters, plainServiceAdapters, platformAdapters, type MembershipList,
} from '@wasabiusher/backends';
import {
	describeError, hashToNumber, Random, type Log,
} from '@wasabiusher/shared';
import {
	ConfigurationAdopter, Executor, Invariants, pollUntil, type ConfigurationMessage, type ConfigurationOutput, type Endpoint,
} from '@wasabiusher/systems';
import {EndpointMonitor} from './endpoint-monitor.js';
import {FenceFloor} from './fence-floor.js';
import {LinkHub} from './link-hub.js';
import {AgentMetrics, type AgentState} from './metrics.js';
import {OrderHandler} from './order-handler.js';
import {PoisonRelay} from './poison-relay.js';
import {resolveKeys, type AgentSettings} from './settings.js';
import {StatusThrottle} from './status-throttle.js';

/** Interval at which the endpoint's report is read and changes are published to entries, in milliseconds. */
const reportIntervalMs = 200;

/** Interval at which the agent announces itself in the membership list, in milliseconds. */
const announceIntervalMs = 5000;

/** Maximum wait for running requests of a model that is about to be unloaded, in milliseconds. */
const retireTimeoutMs = 30_000;

/** Interval at which the configuration adopter runs, in milliseconds. */
const configurationTickMs = 1000;

/** Maximum wait of a leaving agent for the acknowledgement of complete answers, in milliseconds: the time in which a lost link is replaced. */
const acknowledgementTimeoutMs = 6000;

/** Creates the client of an endpoint, by kind. */
const endpointFactories: Readonly<Record<AgentSettings['endpointKind'], (settings: AgentSettings) => Endpoint>> = {
	model: ({endpoint, endpointAdapter}) => ({kind: 'model', engine: engineAdapters[endpointAdapter](endpoint)}),
	plain: ({endpoint, endpointAdapter}) => ({kind: 'plain', service: plainServiceAdapters[endpointAdapter](endpoint)}),
};

/** Handlers of incoming messages, by kind. */
type MessageHandlers = Partial<{[Kind in Message['kind']]: (link: Link, message: MessageOf<Kind>) => void}>;

/** An agent, which serves one endpoint. */
export class Agent implements Daemon {
	readonly #settings: AgentSettings;
	readonly #log: Log;
	readonly #http = new HttpServer();
	readonly #registry = new Registry();
	readonly #metrics: AgentMetrics;
	readonly #membership: MembershipList;
	readonly #monitor: EndpointMonitor;
	readonly #executor: Executor;
	readonly #fenceFloor: FenceFloor;
	readonly #orderHandler: OrderHandler | undefined;
	readonly #poisonRelay: PoisonRelay;
	readonly #adopter: ConfigurationAdopter;
	readonly #invariants: Invariants;
	readonly #statusThrottle = new StatusThrottle();
	readonly #handlers: MessageHandlers;
	readonly #linkHub = this.#createLinkHub();
	readonly #timers: NodeJS.Timeout[] = [];
	#linkServer: LinkServer | undefined;
	#address = '';
	#isLeaving = false;

	constructor(settings: AgentSettings, log: Log) {
		const {name, service, limit, maxWaiting} = settings;
		const endpoint = endpointFactories[settings.endpointKind](settings);
		const {members, tables} = platformAdapters[settings.platformAdapter](settings.platform);
		this.#settings = settings;
		this.#log = log;
		this.#membership = members;
		this.#fenceFloor = new FenceFloor(tables, `${service}/${name}`);
		this.#metrics = new AgentMetrics(this.#registry, () => this.#readState());
		this.#poisonRelay = new PoisonRelay(name, (message, except) => {
			this.#linkHub.broadcast(message, except);
		});
		this.#invariants = new Invariants(log, this.#registry);
		this.#adopter = new ConfigurationAdopter({
			name, dataCentre: settings.dataCentre, log, random: new Random(hashToNumber(name)), invariants: this.#invariants, onAdopted: () => undefined,
		});
		this.#monitor = this.#createMonitor(endpoint);
		this.#executor = new Executor({
			service,
			endpoint,
			limit,
			maxWaiting,
			log,
			send: (peer, message) => this.#linkHub.send(peer, message),
			judge: fingerprint => this.#poisonRelay.judge(fingerprint),
			checkCrash: async () => this.#monitor.checkCrash(),
			onFinished: fingerprint => {
				this.#poisonRelay.recordFinished(fingerprint);
			},
			observe: event => {
				this.#metrics.recordRequest(event);
			},
		});
		this.#orderHandler = this.#createOrderHandler(endpoint);
		this.#handlers = this.#createHandlers();
		collectDefaultMetrics({register: this.#registry});
		addOperationRoutes(this.#http, this.#registry, () => this.#monitor.state.isHealthy && !this.#isLeaving);
	}

	/** Listening address as `ip:port`; empty before `start` resolves. */
	get address(): string {
		return this.#address;
	}

	async start(): Promise<void> {
		const {name, linkKeys} = this.#settings;
		const keys = resolveKeys(this.#settings);
		if (linkKeys.length === 0) {
			this.#log.warn('no_link_keys', {detail: 'listening on loopback only'});
		}

		this.#linkServer = new LinkServer(this.#http.server, {
			identity: {name, keys},
			onLink: link => this.#linkHub.accept(link),
			onReject: error => {
				this.#metrics.recordLinkError(error.code);
				this.#log.warn('link_refused', {code: error.code, reason: error.message});
			},
		});
		this.#address = await this.#http.listen(this.#settings.listen);
		await this.#refresh();
		await this.#announce();
		this.#timers.push(
			setInterval(() => {
				void this.#refresh();
			}, reportIntervalMs),
			setInterval(() => {
				void this.#announce();
			}, announceIntervalMs),
			setInterval(() => {
				void this.#tickConfiguration();
			}, configurationTickMs),
		);
		this.#log.info('agent_started', {address: this.#address, service: this.#settings.service});
	}

	/** Accepts no new work; resolves when all accepted work is answered, and acknowledged or `acknowledgementTimeoutMs` have passed. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		const drained = this.#executor.drain();
		this.#publishStatus(true);
		const announced = this.#announce();
		await drained;
		await pollUntil(() => this.#executor.countUnacknowledged() === 0, acknowledgementTimeoutMs);
		await announced;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		const {running} = this.#executor.describe();
		this.#invariants.checkNothingOpen(running + this.#executor.countUnacknowledged());
		this.#executor.close();
		await this.#linkServer?.end();
		await this.#http.close();
		this.#log.info('agent_drained');
	}

	#createMonitor(endpoint: Endpoint): EndpointMonitor {
		return new EndpointMonitor(endpoint, {
			onReport: report => {
				this.#executor.updateReportedRuns(report.running + report.waiting);
				this.#orderHandler?.reconcile(report);
			},
			onCrash: incarnation => {
				const fingerprints = this.#executor.crash();
				this.#metrics.recordCrash();
				this.#log.error('endpoint_crashed', {incarnation, inFlight: fingerprints.length});
				this.#poisonRelay.recordCrash(incarnation, fingerprints);
			},
		});
	}

	#createOrderHandler(endpoint: Endpoint): OrderHandler | undefined {
		return endpoint.kind === 'model'
			? new OrderHandler({
				engine: endpoint.engine,
				floor: this.#fenceFloor,
				log: this.#log,
				retire: async model => {
					const retired = this.#executor.retire(model, retireTimeoutMs);
					this.#publishStatus(true);
					return retired;
				},
				restore: model => {
					this.#executor.restore(model);
				},
				observe: outcome => {
					this.#metrics.recordOrder(outcome);
				},
			})
			: undefined;
	}

	#createHandlers(): MessageHandlers {
		return {
			open: ({peer}, message) => {
				this.#executor.open(peer, message);
			},
			cancel: ({peer}, message) => {
				this.#executor.cancel(peer, message);
			},
			acknowledge: ({peer}, message) => {
				this.#executor.acknowledge(peer, message);
			},
			resume: ({peer}, message) => {
				this.#executor.resume(peer, message);
			},
			order: (link, message) => {
				void this.#executeOrder(link, message);
			},
			configuration: ({peer}, message) => {
				this.#receiveConfiguration(peer, message);
			},
			'configuration-delta': ({peer}, message) => {
				this.#receiveConfiguration(peer, message);
			},
			digest: ({peer}, message) => {
				this.#receiveConfiguration(peer, message);
			},
			suspicions: ({peer}, message) => {
				this.#poisonRelay.receive(message, peer);
			},
		};
	}

	#createLinkHub(): LinkHub {
		return new LinkHub({
			onUp: peer => {
				this.#sendInitialState(peer);
			},
			onDown: peer => {
				this.#executor.detach(peer);
				this.#adopter.onLinkDown(peer);
			},
			onMessage: (link, message) => {
				// The table pairs each kind with a handler of that kind's message.
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
				(this.#handlers[message.kind] as ((link: Link, message: Message) => void) | undefined)?.(link, message);
			},
			onError: (peer, {code, message}) => {
				this.#metrics.recordLinkError(code);
				this.#log.warn('link_error', {peer, code, reason: message});
			},
		});
	}

	/** Sends the status, the configuration state and suspicions to an entry whose link came up. */
	#sendInitialState(peer: string): void {
		this.#executor.attach(peer);
		this.#linkHub.send(peer, {kind: 'status', status: this.#describe()});
		this.#sendAll(this.#adopter.onLinkUp(peer));
		const suspicions = this.#poisonRelay.list();
		if (suspicions.length > 0) {
			this.#linkHub.send(peer, {kind: 'suspicions', suspicions});
		}
	}

	#receiveConfiguration(peer: string, message: ConfigurationMessage): void {
		this.#sendAll(this.#adopter.receive(peer, message));
	}

	async #tickConfiguration(): Promise<void> {
		this.#sendAll(await this.#adopter.tick());
	}

	#sendAll(outputs: readonly ConfigurationOutput[]): void {
		for (const {to, message} of outputs) {
			this.#linkHub.send(to, message);
		}
	}

	async #executeOrder(link: Link, {order, fence, body}: MessageOf<'order'>): Promise<void> {
		const result = await this.#orderHandler?.execute(body, fence) ?? {outcome: 'failed', detail: 'a plain endpoint accepts no orders'};
		await this.#refresh();
		link.send({kind: 'ordered', order, ...result});
	}

	async #refresh(): Promise<void> {
		const wasHealthy = this.#monitor.state.isHealthy;
		await this.#monitor.refresh();
		const {isHealthy, error} = this.#monitor.state;
		if (wasHealthy && !isHealthy) {
			this.#log.warn('endpoint_unreachable', {reason: error === undefined ? undefined : describeError(error)});
		}

		this.#publishStatus();
	}

	async #announce(): Promise<void> {
		const {name, dataCentre, region, service} = this.#settings;
		try {
			await this.#membership.announce({
				id: name, role: 'agent', address: this.#address, dataCentre, region, service, state: this.#isLeaving ? 'leaving' : 'live',
			});
		} catch (error) {
			this.#log.warn('announce_failed', {reason: describeError(error)});
		}
	}

	#publishStatus(isUrgent = false): void {
		const status = this.#describe();
		if (this.#statusThrottle.shouldSend(status, this.#linkHub.size, performance.now()) || isUrgent) {
			this.#linkHub.broadcast({kind: 'status', status});
		}
	}

	#describe(): EndpointStatus {
		const {isHealthy, report} = this.#monitor.state;
		return {
			...this.#executor.describe(),
			models: (report?.models ?? []).filter(({model}) => !this.#executor.isRetired(model)),
			role: report?.role ?? '',
			isHealthy,
			isLeaving: this.#isLeaving,
			configurationVersion: this.#adopter.accepted.version,
			fence: this.#fenceFloor.fence,
		};
	}

	#readState(): AgentState {
		return {status: this.#describe(), links: this.#linkHub.size, bufferedBytes: this.#linkHub.bufferedBytes};
	}
}
