/**
 * The agent: wires links, the executor, orders and the endpoint together.
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
import {EndpointWatch} from './endpoint-watch.js';
import {FenceFloor} from './fence-floor.js';
import {LinkHub} from './link-hub.js';
import {AgentMetrics, type AgentState} from './metrics.js';
import {OrderDesk} from './order-desk.js';
import {PoisonRelay} from './poison-relay.js';
import {resolveKeys, type AgentSettings} from './settings.js';
import {StatusPace} from './status-pace.js';

/** How often the endpoint is asked for its report and entries are told what changed, in milliseconds. */
const reportMs = 200;

/** How often the agent announces itself, in milliseconds. */
const announceMs = 5000;

/** Longest wait for the end of runs of a model that is to be unloaded, in milliseconds. */
const retireMs = 30_000;

/** How often digests are looked after, in milliseconds. */
const configurationMs = 1000;

/** Longest wait for the acknowledgement of whole answers by an agent that leaves, in milliseconds: what a lost link takes to be replaced. */
const acknowledgeMs = 6000;

/** How an endpoint of each kind is reached. */
const endpoints: Readonly<Record<AgentSettings['endpointKind'], (settings: AgentSettings) => Endpoint>> = {
	model: ({endpoint, endpointAdapter}) => ({kind: 'model', engine: engineAdapters[endpointAdapter](endpoint)}),
	plain: ({endpoint, endpointAdapter}) => ({kind: 'plain', service: plainServiceAdapters[endpointAdapter](endpoint)}),
};

/** Handlers of the messages that an agent takes, by kind. */
type Handlers = Partial<{[Kind in Message['kind']]: (link: Link, message: MessageOf<Kind>) => void}>;

/** One agent beside one endpoint. */
export class Agent implements Daemon {
	readonly #settings: AgentSettings;
	readonly #log: Log;
	readonly #http = new HttpServer();
	readonly #registry = new Registry();
	readonly #metrics: AgentMetrics;
	readonly #membership: MembershipList;
	readonly #watch: EndpointWatch;
	readonly #executor: Executor;
	readonly #floor: FenceFloor;
	readonly #orders: OrderDesk | undefined;
	readonly #poison: PoisonRelay;
	readonly #adopter: ConfigurationAdopter;
	readonly #invariants: Invariants;
	readonly #pace = new StatusPace();
	readonly #handlers: Handlers;
	readonly #hub = this.#createHub();
	readonly #timers: NodeJS.Timeout[] = [];
	#linkServer: LinkServer | undefined;
	#address = '';
	#isLeaving = false;

	constructor(settings: AgentSettings, log: Log) {
		const {name, service, limit, maxWaiting} = settings;
		const endpoint = endpoints[settings.endpointKind](settings);
		const {members, tables} = platformAdapters[settings.platformAdapter](settings.platform);
		this.#settings = settings;
		this.#log = log;
		this.#membership = members;
		this.#floor = new FenceFloor(tables, `${service}/${name}`);
		this.#metrics = new AgentMetrics(this.#registry, () => this.#readState());
		this.#poison = new PoisonRelay(name, (message, except) => {
			this.#hub.broadcast(message, except);
		});
		this.#invariants = new Invariants(log, this.#registry);
		this.#adopter = new ConfigurationAdopter({
			name, dataCentre: settings.dataCentre, log, random: new Random(hashToNumber(name)), invariants: this.#invariants, onAdopted: () => undefined,
		});
		this.#watch = this.#createWatch(endpoint);
		this.#executor = new Executor({
			service,
			endpoint,
			limit,
			maxWaiting,
			log,
			send: (peer, message) => this.#hub.send(peer, message),
			judge: fingerprint => this.#poison.judge(fingerprint),
			checkCrash: async () => this.#watch.checkCrash(),
			onFinished: fingerprint => {
				this.#poison.recordFinished(fingerprint);
			},
			observe: event => {
				this.#metrics.recordRequest(event);
			},
		});
		this.#orders = this.#createOrderDesk(endpoint);
		this.#handlers = this.#createHandlers();
		collectDefaultMetrics({register: this.#registry});
		addOperationRoutes(this.#http, this.#registry, () => this.#watch.state.isHealthy && !this.#isLeaving);
	}

	/** `ip:port` in use, once started. */
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
			onLink: link => this.#hub.accept(link),
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
			}, reportMs),
			setInterval(() => {
				void this.#announce();
			}, announceMs),
			setInterval(() => {
				void this.#tickConfiguration();
			}, configurationMs),
		);
		this.#log.info('agent_started', {address: this.#address, service: this.#settings.service});
	}

	/** Takes no new work, and ends when all that it has taken is answered and acknowledged. */
	async drain(): Promise<void> {
		this.#isLeaving = true;
		const drained = this.#executor.drain();
		this.#tellStatus(true);
		const announced = this.#announce();
		await drained;
		await pollUntil(() => this.#executor.countUnacknowledged() === 0, acknowledgeMs);
		await announced;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		const {running} = this.#executor.describe();
		this.#invariants.checkNothingCutOff(running + this.#executor.countUnacknowledged());
		this.#executor.close();
		await this.#linkServer?.end();
		await this.#http.close();
		this.#log.info('agent_drained');
	}

	#createWatch(endpoint: Endpoint): EndpointWatch {
		return new EndpointWatch(endpoint, {
			onReport: report => {
				this.#executor.reportHeld(report.running + report.waiting);
				this.#orders?.compare(report);
			},
			onCrash: incarnation => {
				const fingerprints = this.#executor.crash();
				this.#metrics.recordCrash();
				this.#log.error('endpoint_crashed', {incarnation, inFlight: fingerprints.length});
				this.#poison.recordCrash(incarnation, fingerprints);
			},
		});
	}

	#createOrderDesk(endpoint: Endpoint): OrderDesk | undefined {
		return endpoint.kind === 'model'
			? new OrderDesk({
				engine: endpoint.engine,
				floor: this.#floor,
				log: this.#log,
				retire: async model => {
					const retired = this.#executor.retire(model, retireMs);
					this.#tellStatus(true);
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

	#createHandlers(): Handlers {
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
				void this.#order(link, message);
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
				this.#poison.receive(message, peer);
			},
		};
	}

	#createHub(): LinkHub {
		return new LinkHub({
			onUp: peer => {
				this.#greet(peer);
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

	/** Tells an entry whose link came up what it needs to know. */
	#greet(peer: string): void {
		this.#executor.attach(peer);
		this.#hub.send(peer, {kind: 'status', status: this.#describe()});
		this.#sendAll(this.#adopter.onLinkUp(peer));
		const suspicions = this.#poison.list();
		if (suspicions.length > 0) {
			this.#hub.send(peer, {kind: 'suspicions', suspicions});
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
			this.#hub.send(to, message);
		}
	}

	async #order(link: Link, {order, fence, body}: MessageOf<'order'>): Promise<void> {
		const result = await this.#orders?.execute(body, fence) ?? {outcome: 'failed', detail: 'this endpoint takes no orders'};
		await this.#refresh();
		link.send({kind: 'ordered', order, ...result});
	}

	async #refresh(): Promise<void> {
		const wasHealthy = this.#watch.state.isHealthy;
		await this.#watch.refresh();
		const {isHealthy, error} = this.#watch.state;
		if (wasHealthy && !isHealthy) {
			this.#log.warn('endpoint_unreachable', {reason: error === undefined ? undefined : describeError(error)});
		}

		this.#tellStatus();
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

	#tellStatus(isUrgent = false): void {
		const status = this.#describe();
		if (this.#pace.shouldTell(status, this.#hub.size, performance.now()) || isUrgent) {
			this.#hub.broadcast({kind: 'status', status});
		}
	}

	#describe(): EndpointStatus {
		const {isHealthy, report} = this.#watch.state;
		return {
			...this.#executor.describe(),
			models: (report?.models ?? []).filter(({model}) => !this.#executor.isRetired(model)),
			role: report?.role ?? '',
			isHealthy,
			isLeaving: this.#isLeaving,
			configurationVersion: this.#adopter.accepted.version,
			fence: this.#floor.fence,
		};
	}

	#readState(): AgentState {
		return {status: this.#describe(), links: this.#hub.size, bufferedBytes: this.#hub.bufferedBytes};
	}
}
