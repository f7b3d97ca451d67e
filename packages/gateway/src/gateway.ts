/**
 * An entry host that calls endpoints directly, without agents: follows the configuration, routes calls, runs batches and orders weight loads.
 */
import {randomUUID} from 'node:crypto';
import {
	Batches, BatchStore, batchTable, HostRegistry, hostTable, RetainedTexts, SpeedRows,
} from '@wasabiusher/batches';
import {
	defaultPolicy, EventLoopLag, RetryBudget, type Policy,
} from '@wasabiusher/decisions';
import type {LoadMode} from '@wasabiusher/backends';
import {
	DirectCall, EndpointDirectory, EndpointQueue, LoadAnnouncements, StreamCall, WeightOrders, type CallerRequest, type CallOutcome, type CallSettings, type StreamOutcome,
} from '@wasabiusher/direct';
import {ReferenceClock, Usage, UsageStore} from '@wasabiusher/duties';
import {LeaseHolder, PartTables} from '@wasabiusher/record';
import {
	describeError, findCurrentRoute, type Deployment, type GatewayStatus, type Route,
} from '@wasabiusher/shared';
import {
	decideAccess, identify, type Access, type AccessRequest, type Identity,
} from './access.js';
import {Catalog} from './catalog.js';
import {confirmRefusal} from './confirmation.js';
import {PoisonRequests} from './poison-requests.js';
import {checkEndpoint} from './endpoint-check.js';
import {toEndpointView} from './endpoint-view.js';
import type {EventCounts} from './gateway-metrics.js';
import type {GatewaySettings} from './gateway-settings.js';
import {waitForLinkKey} from './link-key.js';
import {PeerLinks} from './peer-links.js';
import {PeerServer} from './peer-server.js';
import {isReadyForWork} from './readiness.js';
import {RoutedStore} from './routed-store.js';
import {SlotSharing} from './slot-sharing.js';
import {StoreCircuitBreaker} from './store-circuit-breaker.js';
import {loadAnnouncementPart, StoreFollowers} from './store-followers.js';
import {StoreRecovery} from './store-recovery.js';

/** Interval at which expired rows and objects are removed, in milliseconds. */
const sweepIntervalMs = 10_000;

/** Ratio of the time for which a batch is kept to the time for which it must be readable; readers and hosts may lag. */
const retentionFactor = 2;

/** Interval at which weight orders and slot sharing are updated and the event-loop lag is measured, in milliseconds. */
const tickIntervalMs = 50;

/**
 * Time after which an order or a usage report has arrived or was given up, in milliseconds: the longest time for which its client waits for an
 * answer. If the receivers don't check fences, both are sent only while the remaining term of the lease is longer than that.
 */
const orderTimeoutMs = 1000;
const reportTimeoutMs = 1500;

/** The rollout service on one host, without its HTTP servers for callers and operators. */
export class Gateway {
	readonly batches: Batches;
	readonly #settings: GatewaySettings;
	readonly #policy: Policy;
	readonly #eventLoopLag = new EventLoopLag();
	/** Budget for hedged attempts of calls and scores, by service. */
	readonly #hedges: RetryBudget | undefined;
	readonly #directory: EndpointDirectory;
	readonly #endpointQueue: EndpointQueue | undefined;
	readonly #catalog: Catalog;
	readonly #hosts: HostRegistry;
	readonly #poisonRequests: PoisonRequests;
	readonly #lease: LeaseHolder;
	readonly #orders: WeightOrders;
	readonly #loadAnnouncements: LoadAnnouncements;
	readonly #slotSharing: SlotSharing | undefined;
	readonly #followers: StoreFollowers;
	readonly #storeBreaker: StoreCircuitBreaker;
	readonly #routedStore: RoutedStore;
	readonly #storeRecovery: StoreRecovery;
	readonly #peerServer: PeerServer | undefined;
	readonly #platformTime: ReferenceClock;
	readonly #usage: Usage | undefined;
	readonly #speedRows: SpeedRows | undefined;
	#linkKey: string | undefined;
	#tickTimer: NodeJS.Timeout | undefined;
	/** Time at which the next tick is due, on the monotonic clock. */
	#nextTickAt = 0;
	#sweepTimer: NodeJS.Timeout | undefined;
	/** When it was started, on the monotonic clock in milliseconds. */
	#startedAt = performance.now();
	#isDraining = false;
	#isStopped = false;

	constructor(settings: GatewaySettings) {
		this.#settings = settings;
		const {
			host, dataCentre, cores, client, format, random, log, leaseMs, policy = defaultPolicy,
		} = settings;
		this.#policy = policy;
		this.#hedges = policy.hedgesCalls ? new RetryBudget() : undefined;
		this.#storeBreaker = new StoreCircuitBreaker(settings.rows);
		const findKey = () => this.#linkKey;
		const rows = new RoutedStore({
			breaker: this.#storeBreaker, log, isRelaying: policy.relaysStoreCalls, countHosts: () => this.#hosts.count, peers: new PeerLinks({
				host, random, log, findKey, listPeers: () => this.#hosts.listPeers(),
			}),
		});
		this.#routedStore = rows;
		this.#platformTime = new ReferenceClock(() => this.#storeBreaker.steadyStoreMs);
		this.#directory = new EndpointDirectory(random, policy, this.#eventLoopLag);
		this.#slotSharing = policy.sharesSlots
			? new SlotSharing({
				host, directory: this.#directory, random, log, findKey, listHosts: () => this.#hosts.listLive(),
			})
			: undefined;
		this.#peerServer = settings.peers && new PeerServer(settings.peers.server, {
			host, breaker: this.#storeBreaker, log, findKey, slotSharing: this.#slotSharing,
		});
		this.#poisonRequests = new PoisonRequests({
			rows, table: hostTable, host, listHosts: () => this.#hosts.listLive().map(live => live.host), writer: randomUUID(), log, readStoreMs: () => this.#storeBreaker.storeMs,
			checkEndpoint: async incarnation => checkEndpoint(this.#directory, client, incarnation), hasOpenRuns: endpoint => this.#directory.countOpen(endpoint) > 0,
		});
		this.#endpointQueue = policy.queuesAtHost ? new EndpointQueue(this.#directory) : undefined;
		this.#lease = new LeaseHolder({
			tables: new PartTables(rows), shard: 'weights', holder: host, isOnlyOnHost: true, random, log, termMs: leaseMs,
		});
		this.#loadAnnouncements = new LoadAnnouncements({
			rows, table: batchTable, part: loadAnnouncementPart, writer: host, log, onLoad: (load, forMs) => {
				this.#directory.loads.record(load, forMs);
			},
		});
		this.#orders = new WeightOrders({
			directory: this.#directory, client, lease: this.#lease, holder: host, log, chooseMode: service => this.#chooseLoadMode(service),
			orderMarginMs: settings.checksFences === false ? orderTimeoutMs : 0,
			findDemands: () => this.batches.listDemands(),
			announceLoad: policy.tellsLoads
				? (load, forMs) => {
					this.#loadAnnouncements.announce(load, forMs);
				}
				: undefined,
			isServed: service => this.#catalog.deployment?.services.some(({name}) => name === service) ?? false,
			findWaiting: model => this.batches.countWaiting(model),
			policy,
		});
		this.#catalog = new Catalog({
			format, directory: this.#directory, orders: this.#orders, log, onDown: incarnation => {
				this.#poisonRequests.recordDown(incarnation);
			}, onRemoved: incarnation => {
				this.#poisonRequests.recordRemoved(incarnation);
			}, ownAddresses: settings.ownAddresses, onDeployment: settings.onDeployment,
		});
		this.#hosts = new HostRegistry({
			rows, host, dataCentre, cores, address: settings.peers?.address, log, policy, findEventLoopLagMs: () => this.#eventLoopLag.usualMs, hasWork: () => this.batches.hasWork,
			readClockOffsetMs: () => this.#platformTime.ownOffsetMs,
			onClockOffset: (otherHost, clockMs) => {
				this.#platformTime.recordOffset(otherHost, clockMs);
			},
			listWaiting: () => this.batches.listWaiting(),
			listPaces: maxCount => this.#directory.listOwnPaces(maxCount),
			onPaces: paces => {
				this.#directory.recordReportedPaces(paces);
			},
		});
		this.batches = new Batches({
			directory: this.#directory, queue: this.#endpointQueue, client, random, log, policy, host, dataCentre, hosts: this.#hosts, hedges: this.#hedges,
			store: new BatchStore(rows, this.#storeBreaker.guard(settings.blobs)),
			retainedTexts: new RetainedTexts(rows),
			maxSubmissionBytes: settings.maxSubmissionBytes,
			findDeployment: () => this.#catalog.deployment,
			findPublishedVersion: model => this.#orders.findPublishedVersion(model),
			readStoreMs: () => this.#storeBreaker.storeMs,
			isStoreOpen: () => !this.#storeBreaker.isTripped || rows.isRelayed,
		});
		this.#usage = this.#createUsage();
		this.#speedRows = policy.plansTexts ? new SpeedRows({rows, directory: this.#directory, log}) : undefined;
		const chance = () => random.next();
		this.#followers = new StoreFollowers({
			store: rows.probing, operatorTable: format.operatorTable, endpointTable: format.endpointTable, log, chance,
			catalog: this.#catalog, batches: this.batches, loadAnnouncements: this.#loadAnnouncements, poisonRequests: this.#poisonRequests, hosts: this.#hosts,
		});
		this.#storeRecovery = new StoreRecovery({
			followers: this.#followers.all, chance, countHosts: () => this.#hosts.count,
			sendHeartbeat: async () => this.#hosts.sendHeartbeat(),
			releaseWrites: () => {
				this.batches.releaseCommits();
			},
		});
		this.#storeBreaker.setRecoveryListener(() => {
			this.#storeRecovery.start();
		});
	}

	/** Whether this host should get new work. */
	get isReady(): boolean {
		return isReadyForWork({
			hasSynced: this.#catalog.deployment !== undefined && this.#followers.hasSynced,
			hasCrashRows: this.#followers.hasCrashRows,
			sinceStartMs: performance.now() - this.#startedAt,
			configurationAgeMs: this.#followers.configurationAgeMs,
			isDraining: this.#isDraining,
		});
	}

	get deployment(): Deployment | undefined {
		return this.#catalog.deployment;
	}

	/** State of this host as shown to operators. */
	get status(): GatewayStatus {
		const {host, dataCentre = ''} = this.#settings;
		return {
			host,
			dataCentre,
			isReady: this.isReady,
			configuration: this.#catalog.deployment?.version,
			configurationAgeMs: Number.isFinite(this.#followers.configurationAgeMs) ? Math.round(this.#followers.configurationAgeMs) : undefined,
			storeWay: this.#routedStore.mode,
			lateMs: Math.round(this.#eventLoopLag.usualMs),
			isHolder: this.#lease.holds(),
			shares: this.batches.ownedCount,
			waiting: this.batches.listWaiting(),
			published: Object.fromEntries(this.#orders.publishedVersions),
			turns: this.#endpointQueue?.listFlows() ?? [],
			endpoints: this.#directory.listStates().map(state => toEndpointView(state)),
		};
	}

	/** Event counts of all components since the start, by event name; each only grows. */
	get counts(): EventCounts {
		const queueCounts = this.#endpointQueue?.counts.map(({kind, answer, count}): [string, number] => [`line-${kind}-${answer}`, count]) ?? [];
		return {
			...this.batches.counts, ...this.#loadAnnouncements.counts, ...this.#directory.loads.counts, ...this.#directory.counts,
			...this.#poisonRequests.counts, ...this.#slotSharing?.counts, ...Object.fromEntries(queueCounts),
		};
	}

	start(): void {
		this.#startedAt = performance.now();
		this.#followers.start();

		void this.#loadLinkKey();
		this.#hosts.start();
		this.batches.start();
		this.#lease.start();
		this.#usage?.start();
		this.#speedRows?.start();
		this.#nextTickAt = performance.now() + tickIntervalMs;
		this.#tickTimer = setInterval(() => {
			this.#recordEventLoopLag();
			this.#orders.tick();
			this.#slotSharing?.tick();
		}, tickIntervalMs);
		this.#sweepTimer = setInterval(() => {
			this.#logSlotSharing();
			// Only the lease holder sweeps. Two holders at once do no harm.
			if (this.#lease.holds()) {
				void this.#poisonRequests.sweep();
				void this.batches.sweep(retentionFactor * this.#settings.statusMs);
			}
		}, sweepIntervalMs);
	}

	/** Finds the route and the customer of a request. Refuses only after the store has confirmed that the configuration is current. Never rejects. */
	async findAccess(request: AccessRequest): Promise<Access> {
		return confirmRefusal(() => decideAccess(this.#catalog.deployment, this.#catalog.keys, request), async () => this.#followers.refreshConfiguration());
	}

	/** Finds the owner of an API key, for calls without a route. Refuses only after the store has confirmed that the configuration is current. Never rejects. */
	async identify(key: string | undefined): Promise<Identity> {
		return confirmRefusal(() => identify(this.#catalog.deployment, this.#catalog.keys, key), async () => this.#followers.refreshConfiguration());
	}

	/** Runs a caller's request to completion. */
	async call(route: Route, request: CallerRequest, signal: AbortSignal): Promise<CallOutcome> {
		return new DirectCall(this.#createCallSettings(route, request), route, request, signal).run();
	}

	/** Opens a streamed answer to a caller's request. */
	async openStream(route: Route, request: CallerRequest, signal: AbortSignal): Promise<StreamOutcome> {
		return new StreamCall(this.#createCallSettings(route, request), route, request, signal).open();
	}

	/** Stops accepting work and hands over leases and batches to other hosts; calls in flight continue. Never rejects. */
	async drain(): Promise<void> {
		const {log} = this.#settings;
		this.#isDraining = true;
		this.#usage?.resign();
		clearInterval(this.#tickTimer);
		clearInterval(this.#sweepTimer);
		try {
			await Promise.all([this.#endLease(), this.batches.handOver()]);
		} catch (error) {
			log.warn('hand_over_failed', {reason: describeError(error)});
		}
	}

	/** Reports the remaining usage. To be called once no call is in flight. Never rejects. */
	async flushUsage(): Promise<void> {
		await this.#usage?.leave();
	}

	/** Stops all background work. */
	stop(): void {
		clearInterval(this.#tickTimer);
		clearInterval(this.#sweepTimer);
		this.#lease.stop();
		this.#loadAnnouncements.stop();
		this.#slotSharing?.close();
		this.#usage?.stop();
		this.#speedRows?.stop();
		this.#hosts.stop();
		this.batches.stop();
		this.#poisonRequests.stop();
		this.#routedStore.stop();
		this.#storeRecovery.stop();
		this.#peerServer?.close();
		this.#isStopped = true;
		this.#followers.stop();
	}

	#logSlotSharing(): void {
		const counts = this.#slotSharing?.counts;
		if (counts && counts.demands + counts.demandsTaken > 0) {
			this.#settings.log.info('slots_shared', counts);
		}
	}

	#recordEventLoopLag(): void {
		const now = performance.now();
		this.#eventLoopLag.record(now - this.#nextTickAt);
		this.#nextTickAt = now + tickIntervalMs;
	}

	async #loadLinkKey(): Promise<void> {
		this.#linkKey = await waitForLinkKey(this.#storeBreaker, this.#settings.log, () => this.#isStopped);
	}

	#createUsage(): Usage | undefined {
		const {usage, host, random, log, checksFences = true} = this.#settings;
		return usage && new Usage({
			...usage,
			store: new UsageStore(this.#routedStore),
			host,
			incarnation: this.#hosts.incarnation,
			lease: this.#lease,
			sendMarginMs: checksFences ? 0 : reportTimeoutMs,
			log,
			readReferenceMs: () => this.#platformTime.read(),
			countHosts: () => this.#hosts.count,
			chance: () => random.next(),
		});
	}

	/** Releases the lease only if this host has sent nothing under it for a whole term, and otherwise lets it expire: actions of two holders must be at least one term apart. */
	async #endLease(): Promise<void> {
		const sinceLastActionMs = Math.min(this.#orders.sinceOrderMs, this.#usage?.sinceActMs ?? Number.POSITIVE_INFINITY);
		if (sinceLastActionMs > this.#settings.leaseMs) {
			await this.#lease.release();
		} else {
			this.#lease.stop();
		}
	}

	#createCallSettings({host}: Route, {path, customer}: CallerRequest): CallSettings {
		const {client, random, log} = this.#settings;
		return {
			directory: this.#directory, queue: this.#endpointQueue, client, random, log, policy: this.#policy, meter: this.#usage, hedges: this.#hedges,
			poisonRequests: this.#trackedPoisonRequests, findRoute: () => findCurrentRoute(this.#catalog.deployment, {host, path: path.split('?', 1)[0]!, customer}),
		};
	}

	/** What calls and streams report to; undefined if poison requests aren't refused. */
	get #trackedPoisonRequests(): PoisonRequests | undefined {
		return this.#policy.refusesCrashers ? this.#poisonRequests : undefined;
	}

	/** Lets endpoints finish their generations before a weight load if a route of the service requires a single version for each generation; otherwise these continue under the new weights. */
	#chooseLoadMode(service: string): LoadMode {
		const routes = this.#catalog.deployment?.routes ?? [];
		const needsSingleVersion = routes.some(({isSingleVersion, targets}) => isSingleVersion && targets.some(target => target.service === service));
		return needsSingleVersion ? 'finish-first' : 'continue';
	}
}
