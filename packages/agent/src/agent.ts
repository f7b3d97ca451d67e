/**
 * The agent: wires links, the executor and the endpoint together.
 */
import {Registry, collectDefaultMetrics} from 'prom-client';
import {addOperationRoutes, HttpServer, type Daemon} from '@wasabiusher/daemon';
import {
	LinkServer, type EndpointStatus, type Link, type Message, type MessageOf,
} from '@wasabiusher/link';
import {
	HttpEngine, HttpMembershipList, HttpPlainService, PlatformError, type LoadedModel, type MembershipList,
} from '@wasabiusher/platform';
import {describeError, type AcceptedConfiguration, type Log} from '@wasabiusher/shared';
import {Executor, type Endpoint} from '@wasabiusher/systems';
import {resolveKeys, type AgentSettings} from './settings.js';

/** How often the endpoint is asked for its report and entries are told, in milliseconds. */
const reportMs = 200;

/** How often the agent announces itself, in milliseconds. */
const announceMs = 5000;

const endpoints: Readonly<Record<AgentSettings['endpointKind'], (origin: string) => Endpoint>> = {
	model: origin => ({kind: 'model', engine: new HttpEngine(origin)}),
	plain: origin => ({kind: 'plain', service: new HttpPlainService(origin)}),
};

/** One agent beside one endpoint. */
export class Agent implements Daemon {
	readonly #settings: AgentSettings;
	readonly #log: Log;
	readonly #http = new HttpServer();
	readonly #registry = new Registry();
	readonly #membership: MembershipList;
	readonly #endpoint: Endpoint;
	readonly #executor: Executor;
	readonly #links = new Map<string, Link>();
	readonly #timers: NodeJS.Timeout[] = [];
	#linkServer: LinkServer | undefined;
	#address = '';
	#models: LoadedModel[] = [];
	#role = '';
	#workPerSecond = 0;
	#isHealthy = false;
	#isLeaving = false;
	#fence = 0;
	#configuration: AcceptedConfiguration | undefined;

	constructor(settings: AgentSettings, log: Log) {
		this.#settings = settings;
		this.#log = log;
		this.#membership = new HttpMembershipList(settings.platform);
		this.#endpoint = endpoints[settings.endpointKind](settings.endpoint);
		this.#executor = new Executor({
			service: settings.service,
			endpoint: this.#endpoint,
			limit: settings.limit,
			maxWaiting: settings.maxWaiting,
			log,
			send: (peer, message) => this.#send(peer, message),
		});
		collectDefaultMetrics({register: this.#registry});
		addOperationRoutes(this.#http, this.#registry, () => this.#isHealthy && !this.#isLeaving);
	}

	/** `ip:port` in use, once started. */
	get address(): string {
		return this.#address;
	}

	async start(): Promise<void> {
		const {name} = this.#settings;
		this.#linkServer = new LinkServer(this.#http.server, {
			identity: {name, keys: resolveKeys(this.#settings)},
			onLink: link => this.#accept(link),
			onReject: error => {
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
		);
		this.#log.info('agent_started', {address: this.#address, service: this.#settings.service});
	}

	async drain(): Promise<void> {
		this.#isLeaving = true;
		const drained = this.#executor.drain();
		this.#broadcast({kind: 'status', status: this.#describe()});
		await this.#announce();
		await drained;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#linkServer?.close();
		await this.#http.close();
	}

	#accept(link: Link) {
		this.#links.get(link.peer)?.close();
		this.#links.set(link.peer, link);
		this.#executor.attach(link.peer);
		link.send({kind: 'status', status: this.#describe()});
		return {
			onMessage: (message: Message) => {
				this.#receive(link, message);
			},
			onClose: () => {
				if (this.#links.get(link.peer) === link) {
					this.#links.delete(link.peer);
					this.#executor.detach(link.peer);
				}
			},
		};
	}

	#receive(link: Link, message: Message): void {
		const {peer} = link;
		const handlers: Partial<{[Kind in Message['kind']]: (message: MessageOf<Kind>) => void}> = {
			open: open => {
				this.#executor.open(peer, open);
			},
			cancel: cancel => {
				this.#executor.cancel(peer, cancel);
			},
			acknowledge: acknowledge => {
				this.#executor.acknowledge(peer, acknowledge);
			},
			resume: resume => {
				this.#executor.resume(peer, resume);
			},
			order: order => {
				void this.#order(link, order);
			},
			configuration: ({accepted}) => {
				this.#adopt(accepted, peer);
			},
		};
		// The table pairs each kind with a handler of that kind's message.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		(handlers[message.kind] as ((message: Message) => void) | undefined)?.(message);
	}

	/** A version never goes back. */
	#adopt(accepted: AcceptedConfiguration, from: string): void {
		if (accepted.version <= (this.#configuration?.version ?? 0)) {
			return;
		}

		this.#configuration = accepted;
		for (const link of this.#links.values()) {
			if (link.peer !== from) {
				link.send({kind: 'configuration', accepted});
			}
		}
	}

	async #order(link: Link, {order, fence, body}: MessageOf<'order'>): Promise<void> {
		if (fence < this.#fence || this.#endpoint.kind !== 'model') {
			link.send({
				kind: 'ordered', order, outcome: 'fenced', detail: `fence ${fence} is older than ${this.#fence}`,
			});
			return;
		}

		this.#fence = fence;
		try {
			await this.#endpoint.engine.order(body, fence);
			await this.#refresh();
			link.send({
				kind: 'ordered', order, outcome: 'done', detail: '',
			});
		} catch (error) {
			const outcome = error instanceof PlatformError && error.code === 'fenced' ? 'fenced' : 'failed';
			link.send({
				kind: 'ordered', order, outcome, detail: describeError(error),
			});
		}
	}

	async #refresh(): Promise<void> {
		try {
			if (this.#endpoint.kind === 'model') {
				const report = await this.#endpoint.engine.report();
				this.#models = report.models;
				this.#role = report.role;
				this.#workPerSecond = report.tokensPerSecond;
				this.#isHealthy = true;
			} else {
				this.#isHealthy = await this.#endpoint.service.check();
			}
		} catch (error) {
			this.#isHealthy = false;
			this.#log.warn('endpoint_unreachable', {reason: describeError(error)});
		}

		this.#broadcast({kind: 'status', status: this.#describe()});
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

	#describe(): EndpointStatus {
		return {
			...this.#executor.describe(),
			models: this.#models,
			role: this.#role,
			workPerSecond: this.#workPerSecond,
			isHealthy: this.#isHealthy,
			isLeaving: this.#isLeaving,
			configurationVersion: this.#configuration?.version ?? 0,
			fence: this.#fence,
		};
	}

	#send(peer: string, message: Message): boolean {
		const link = this.#links.get(peer);
		link?.send(message);
		return link !== undefined;
	}

	#broadcast(message: Message): void {
		for (const link of this.#links.values()) {
			link.send(message);
		}
	}
}
