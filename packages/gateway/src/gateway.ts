/**
 * One entry host without agents: learns what is in force, routes calls, runs batches and gives orders for weights.
 */
import {
	Batches, batchParts, BatchStore, batchTable, HostRegistry, hostTable, KeptTexts, SpeedRows,
} from '@wasabiusher/batches';
import {
	defaultPolicy, Lateness, RetryBudget, type Policy,
} from '@wasabiusher/decisions';
import type {LoadMode} from '@wasabiusher/backends';
import {
	DirectCall, EndpointDirectory, EndpointLine, LoadNews, StreamCall, WeightOrders, type CallerRequest, type CallOutcome, type CallSettings, type StreamOutcome,
} from '@wasabiusher/direct';
import {TrueTime, Usage, UsageStore} from '@wasabiusher/duties';
import {LeaseHolder, PartTables, TableFollower} from '@wasabiusher/record';
import {
	describeError, type Deployment, type GatewayStatus, type Route,
} from '@wasabiusher/shared';
import {
	decideAccess, identify, type Access, type AccessRequest, type Identity,
} from './access.js';
import {Catalog} from './catalog.js';
import {confirmRefusal} from './confirmation.js';
import {crasherPart, Crashers} from './crashers.js';
import {toEndpointView} from './endpoint-view.js';
import type {PartCounts} from './gateway-metrics.js';
import type {GatewaySettings} from './gateway-settings.js';
import {learnLinkKey} from './link-key.js';
import {PeerLinks} from './peer-links.js';
import {PeerServer} from './peer-server.js';
import {RoutedStore} from './routed-store.js';
import {SlotSharing} from './slot-sharing.js';
import {StoreGate} from './store-gate.js';
import {StoreReturn} from './store-return.js';

/** How often what nobody reads any more is removed, in milliseconds. */
const sweepMs = 10_000;

/** How much longer than it must be readable a batch is kept, as a factor: readers and hosts may lag. */
const retentionFactor = 2;

/** How often orders for weights are looked after, and the lateness of this process is measured, in milliseconds. */
const ordersMs = 50;

/**
 * Longest wait for changes of the configuration, in milliseconds. One must be in force 2 s after its confirmation, also on a
 * host whose connection has gone silent; and a host should know soon that it is cut off from the store.
 */
const operatorWaitMs = 700;

/**
 * Time without an answer of the store after which new work had better go to a host that hears it, in milliseconds: a
 * regular wait and one lost answer.
 */
const cutOffMs = 3000;

/**
 * Least time between two calls for registrations and heartbeats, in milliseconds. An endpoint that leaves must get nothing new two seconds after
 * it has said so, and a silent host is suspected after 0.9 s; both bear a sixth of a second.
 */
const gatherMs = 150;

/** Part of the table of batches, which all hosts follow without a pause, in which the news of loads lie. */
const loadPart = 'loads';

/**
 * Time after which an order and a report of usage have arrived or were given up, in milliseconds: the longest wait of their clients for an answer. Where
 * nobody checks fences, they are sent only under a lease that lasts so long.
 */
const orderRoomMs = 1000;
const reportRoomMs = 1500;

/** The host's part of the system. */
export class Gateway {
	readonly batches: Batches;
	readonly #settings: GatewaySettings;
	readonly #policy: Policy;
	readonly #lateness = new Lateness();
	/** Second attempts of calls and scores, by service. */
	readonly #hedges: RetryBudget | undefined;
	readonly #directory: EndpointDirectory;
	readonly #line: EndpointLine | undefined;
	readonly #catalog: Catalog;
	readonly #hosts: HostRegistry;
	readonly #crashers: Crashers;
	readonly #lease: LeaseHolder;
	readonly #orders: WeightOrders;
	readonly #loadNews: LoadNews;
	readonly #sharing: SlotSharing | undefined;
	readonly #followers: TableFollower[];
	readonly #operatorFollower: TableFollower;
	/** Without what these tell, work can't be taken. */
	readonly #neededFollowers: TableFollower[];
	readonly #gate: StoreGate;
	readonly #rows: RoutedStore;
	readonly #storeReturn: StoreReturn;
	readonly #peerServer: PeerServer | undefined;
	readonly #trueTime: TrueTime;
	readonly #usage: Usage | undefined;
	readonly #speedRows: SpeedRows | undefined;
	#linkKey: string | undefined;
	#timer: NodeJS.Timeout | undefined;
	/** When the next tick is due, on the monotonic clock. */
	#dueAt = 0;
	#sweepTimer: NodeJS.Timeout | undefined;
	#isDraining = false;
	#isStopped = false;

	constructor(settings: GatewaySettings) {
		this.#settings = settings;
		const {
			host, dataCentre, cores, client, format, random, log, leaseMs, policy = defaultPolicy,
		} = settings;
		this.#policy = policy;
		this.#hedges = policy.hedgesCalls ? new RetryBudget() : undefined;
		this.#gate = new StoreGate(settings.rows);
		const findKey = () => this.#linkKey;
		const rows = new RoutedStore({
			gate: this.#gate, log, isRelaying: policy.relaysStoreCalls, countHosts: () => this.#hosts.count, peers: new PeerLinks({
				host, random, log, findKey, listPeers: () => this.#hosts.listPeers(),
			}),
		});
		this.#rows = rows;
		this.#trueTime = new TrueTime(() => this.#gate.steadyStoreMs);
		this.#directory = new EndpointDirectory(random, policy, this.#lateness);
		this.#sharing = policy.sharesSlots
			? new SlotSharing({
				host, directory: this.#directory, random, log, findKey, listHosts: () => this.#hosts.listLive(),
			})
			: undefined;
		this.#peerServer = settings.peers && new PeerServer(settings.peers.server, {
			host, gate: this.#gate, log, findKey, sharing: this.#sharing,
		});
		this.#crashers = new Crashers({
			rows, table: hostTable, host, directory: this.#directory, log, readStoreMs: () => this.#gate.storeMs,
		});
		this.#line = policy.queuesAtHost ? new EndpointLine(this.#directory) : undefined;
		this.#lease = new LeaseHolder({
			tables: new PartTables(rows), shard: 'weights', holder: host, isOnlyOnHost: true, random, log, termMs: leaseMs,
		});
		this.#loadNews = new LoadNews({
			rows, table: batchTable, part: loadPart, writer: host, log, onLoad: (load, forMs) => {
				this.#directory.loads.note(load, forMs);
			},
		});
		this.#orders = new WeightOrders({
			directory: this.#directory, client, right: this.#lease, holder: host, log, chooseMode: service => this.#chooseMode(service),
			orderRoomMs: settings.checksFences === false ? orderRoomMs : 0,
			findNeeds: () => this.batches.listNeeds(),
			tellLoad: policy.tellsLoads
				? (load, forMs) => {
					this.#loadNews.tell(load, forMs);
				}
				: undefined,
			isServed: service => this.#catalog.deployment?.services.some(({name}) => name === service) ?? false,
			findWaiting: model => this.batches.countWaiting(model),
			policy,
		});
		this.#catalog = new Catalog({
			format, directory: this.#directory, orders: this.#orders, log, onDown: endpoint => {
				this.#crashers.noteDown(endpoint);
			}, ownAddresses: settings.ownAddresses, onDeployment: settings.onDeployment,
		});
		this.#hosts = new HostRegistry({
			rows, host, dataCentre, cores, address: settings.peers?.address, log, policy, findLateMs: () => this.#lateness.usualMs, ownsWork: () => this.batches.hasWork,
			readClockMs: () => this.#trueTime.ownOffsetMs,
			onClock: (other, clockMs) => {
				this.#trueTime.learn(other, clockMs);
			},
			listWaiting: () => this.batches.listWaiting(),
			listPaces: most => this.#directory.listOwnPaces(most),
			onPaces: paces => {
				this.#directory.learnPaces(paces);
			},
		});
		this.batches = new Batches({
			directory: this.#directory, line: this.#line, client, random, log, policy, host, dataCentre, hosts: this.#hosts, hedges: this.#hedges,
			store: new BatchStore(rows, this.#gate.guard(settings.blobs)),
			keptTexts: new KeptTexts(rows),
			findDeployment: () => this.#catalog.deployment,
			findPublished: model => this.#orders.findPublished(model),
			readStoreMs: () => this.#gate.storeMs,
			isStoreOpen: () => !this.#gate.isLost || rows.isRelayed,
		});
		this.#usage = this.#createUsage();
		this.#speedRows = policy.plansTexts ? new SpeedRows({rows, directory: this.#directory, log}) : undefined;
		const chance = () => random.next();
		this.#operatorFollower = new TableFollower({
			store: rows.probing, table: format.operatorTable, parts: [''], log, waitMs: operatorWaitMs, apply: change => {
				this.#catalog.applyOperatorRow(change);
			},
		});
		this.#neededFollowers = [
			this.#operatorFollower,
			new TableFollower({
				store: rows.probing, table: format.endpointTable, parts: [''], log, gatherMs, chance, apply: change => {
					this.#catalog.applyEndpoint(change);
				},
			}),
			new TableFollower({
				store: rows.probing, table: batchTable, parts: batchParts, log, apply: change => {
					if (change.part === loadPart) {
						this.#loadNews.apply(change);
					} else {
						this.batches.apply(change);
					}
				},
			}),
		];
		this.#followers = [
			...this.#neededFollowers,
			new TableFollower({
				store: rows.probing, table: hostTable, parts: ['', crasherPart], log, gatherMs, chance,
				apply: change => {
					if (change.part === crasherPart) {
						this.#crashers.apply(change);
					} else {
						this.#hosts.apply(change);
					}
				},
				onContact: () => {
					this.#hosts.noteContact();
				},
			}),
		];
		this.#storeReturn = new StoreReturn({
			followers: this.#followers, chance, countHosts: () => this.#hosts.count,
			beat: async () => this.#hosts.beat(),
			release: () => {
				this.batches.releaseCommits();
			},
		});
		this.#gate.watchRegained(() => {
			this.#storeReturn.begin();
		});
	}

	/** Whether new work should come here. The heartbeats of others need not be known: a part of the store may be down at a start. */
	get isReady(): boolean {
		const knowsAll = this.#catalog.deployment !== undefined && this.#neededFollowers.every(({isSynced}) => isSynced);
		return knowsAll && !this.#isDraining && this.#operatorFollower.ageMs < cutOffMs;
	}

	get deployment(): Deployment | undefined {
		return this.#catalog.deployment;
	}

	/** What operators are told of this host. */
	get status(): GatewayStatus {
		const {host, dataCentre = ''} = this.#settings;
		return {
			host,
			dataCentre,
			isReady: this.isReady,
			configuration: this.#catalog.deployment?.version,
			configurationAgeMs: Number.isFinite(this.#operatorFollower.ageMs) ? Math.round(this.#operatorFollower.ageMs) : undefined,
			storeWay: this.#rows.way,
			lateMs: Math.round(this.#lateness.usualMs),
			isHolder: this.#lease.holds(),
			shares: this.batches.ownedCount,
			waiting: this.batches.listWaiting(),
			published: Object.fromEntries(this.#orders.published),
			turns: this.#line?.listTurns() ?? [],
			endpoints: this.#directory.listStandings().map(standing => toEndpointView(standing)),
		};
	}

	/** What the parts have counted since the start. */
	get counts(): PartCounts {
		const answers = this.#line?.counts.map(({kind, answer, count}): [string, number] => [`line-${kind}-${answer}`, count]) ?? [];
		return {
			...this.batches.counts, ...this.#loadNews.counts, ...this.#directory.loads.counts, ...this.#directory.counts, ...this.#crashers.counts, ...this.#sharing?.counts, ...Object.fromEntries(answers),
		};
	}

	start(): void {
		for (const follower of this.#followers) {
			void follower.run();
		}

		void this.#learnKey();
		this.#hosts.start();
		this.batches.start();
		this.#lease.start();
		this.#usage?.start();
		this.#speedRows?.start();
		this.#dueAt = performance.now() + ordersMs;
		this.#timer = setInterval(() => {
			this.#noteLateness();
			this.#orders.tick();
			this.#sharing?.tick();
		}, ordersMs);
		this.#sweepTimer = setInterval(() => {
			this.#logSharing();
			// The holder of the lease does it for all; two at once do no harm.
			if (this.#lease.holds()) {
				void this.#crashers.sweep();
				void this.batches.sweep(retentionFactor * this.#settings.statusMs);
			}
		}, sweepMs);
	}

	/** Finds the route and the customer of a request; a refusal is what the store has confirmed. Never rejects. */
	async findAccess(request: AccessRequest): Promise<Access> {
		return confirmRefusal(() => decideAccess(this.#catalog.deployment, this.#catalog.keys, request), async () => this.#operatorFollower.refresh());
	}

	/** Finds whose key it is, for calls that concern no route. A refusal is what the store has confirmed. Never rejects. */
	async identify(key: string | undefined): Promise<Identity> {
		return confirmRefusal(() => identify(this.#catalog.deployment, this.#catalog.keys, key), async () => this.#operatorFollower.refresh());
	}

	/** Answers a caller's request. */
	async call(route: Route, request: CallerRequest, signal: AbortSignal): Promise<CallOutcome> {
		return new DirectCall(this.#callSettings, route, request, signal).run();
	}

	/** Begins a streamed answer. */
	async openStream(route: Route, request: CallerRequest, signal: AbortSignal): Promise<StreamOutcome> {
		return new StreamCall(this.#callSettings, route, request, signal).open();
	}

	/** Takes no new work and hands over what lasts; calls under way go on. Never rejects. */
	async drain(): Promise<void> {
		const {log} = this.#settings;
		this.#isDraining = true;
		this.#usage?.resign();
		clearInterval(this.#timer);
		clearInterval(this.#sweepTimer);
		try {
			await Promise.all([this.#leaveOrders(), this.batches.handOver()]);
		} catch (error) {
			log.warn('hand_over_failed', {reason: describeError(error)});
		}
	}

	/** Tells the last that there is to tell, once no call is under way any more. Never rejects. */
	async leave(): Promise<void> {
		await this.#usage?.leave();
	}

	/** Ends all that goes on in the background. */
	stop(): void {
		clearInterval(this.#timer);
		clearInterval(this.#sweepTimer);
		this.#lease.stop();
		this.#loadNews.stop();
		this.#sharing?.close();
		this.#usage?.stop();
		this.#speedRows?.stop();
		this.#hosts.stop();
		this.batches.stop();
		this.#rows.stop();
		this.#storeReturn.stop();
		this.#peerServer?.close();
		this.#isStopped = true;
		for (const follower of this.#followers) {
			follower.stop();
		}
	}

	#logSharing(): void {
		const counts = this.#sharing?.counts;
		if (counts && counts.demands + counts.demandsTaken > 0) {
			this.#settings.log.info('slots_shared', counts);
		}
	}

	#noteLateness(): void {
		const now = performance.now();
		this.#lateness.record(now - this.#dueAt);
		this.#dueAt = now + ordersMs;
	}

	async #learnKey(): Promise<void> {
		this.#linkKey = await learnLinkKey(this.#gate, this.#settings.log, () => this.#isStopped);
	}

	#createUsage(): Usage | undefined {
		const {usage, host, random, log, checksFences = true} = this.#settings;
		return usage && new Usage({
			...usage,
			store: new UsageStore(this.#rows),
			host,
			incarnation: this.#hosts.incarnation,
			right: this.#lease,
			sendRoomMs: checksFences ? 0 : reportRoomMs,
			log,
			readTrueMs: () => this.#trueTime.read(),
			countHosts: () => this.#hosts.count,
			chance: () => random.next(),
		});
	}

	/** Gives the lease up at once only if nothing was done under it for a term: acts of two holders must never lie closer than that. */
	async #leaveOrders(): Promise<void> {
		const sinceActMs = Math.min(this.#orders.sinceOrderMs, this.#usage?.sinceActMs ?? Number.POSITIVE_INFINITY);
		if (sinceActMs > this.#settings.leaseMs) {
			await this.#lease.release();
		} else {
			this.#lease.stop();
		}
	}

	get #callSettings(): CallSettings {
		const {client, random, log} = this.#settings;
		return {
			directory: this.#directory, line: this.#line, client, random, log, policy: this.#policy, meter: this.#usage, hedges: this.#hedges,
			crashers: this.#policy.refusesCrashers ? this.#crashers : undefined,
		};
	}

	/** Texts that must have one version are finished before the weights change; others go on under the new ones. */
	#chooseMode(service: string): LoadMode {
		const routes = this.#catalog.deployment?.routes ?? [];
		const hasSingle = routes.some(({isSingleVersion, targets}) => isSingleVersion && targets.some(target => target.service === service));
		return hasSingle ? 'finish-first' : 'continue';
	}
}
