/**
 * Brings endpoints to the published versions of their models by sending them weight orders directly.
 *
 * Load pattern: a new version every few seconds while steps are in progress. Only a fraction of a service loads at a time, so that the rest keeps
 * serving. An order names how many orders the endpoint must have accepted before, so that an order that arrives late, after a newer one, has no effect.
 * No order is sent without the lease, and none for a version that the endpoint already holds.
 */
import {
	defaultPolicy, assignModels, type ModelDemand, type Policy,
} from '@wasabiusher/decisions';
import type {
	LoadMode, OrderOutcome, ServingClient, ServingReport,
} from '@wasabiusher/backends';
import {
	describeError, groupBy, type HeldModel, type Log, type RegisteredEndpoint,
} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import {isOfIncarnation} from './restart-watch.js';
import {LoadSchedule} from './load-schedule.js';
import type {WeightLoad} from './load-windows.js';

/** The lease that permits sending orders; a `LeaseHolder` has this shape. */
export type OrderLease = {readonly fence: number; holds(marginMs?: number): boolean};

export type WeightOrdersSettings = {
	directory: EndpointDirectory;
	client: ServingClient;
	lease: OrderLease;
	/** Time for which the lease must still be held when an order is sent, in milliseconds; 0 where endpoints themselves refuse an outdated fence. */
	orderMarginMs?: number;
	/** Name of this process, sent with each order. */
	holder: string;
	log: Log;
	policy?: Policy;
	/** How a service's endpoints treat runs in progress while they load. */
	chooseMode(service: string): LoadMode;
	/** Announces a load to the other hosts with its expected duration in milliseconds; 0 withdraws the announcement. */
	announceLoad?(load: WeightLoad, forMs: number): void;
	/** Whether the configuration names a service; endpoints of other services get no orders. By default all services do. */
	isServed?(service: string): boolean;
	/** Recent demand of the steps of each model. */
	findDemands?(): ReadonlyMap<string, ModelDemand>;
	/** Number of generations of a model that have not begun, over all hosts; undefined if unknown. */
	findWaiting?(model: string): number | undefined;
};

/** Maximum fraction of a service's endpoints that load at once: the weight store slows down beyond it, and the other endpoints must carry the load. */
const loadingFraction = 0.3;

/**
 * Maximum fraction of the endpoints assigned to one model that load it at once: if both of a model's two endpoints loaded together, none could generate
 * its samples for about a second.
 */
const modelLoadingFraction = 0.5;

/** Interval between reports read from an endpoint that loads, in milliseconds; a load takes about a second and a report costs as much as a probe. */
const reportIntervalMs = 150;

/** Time after which an order in progress is abandoned, in milliseconds: several times a slow load. */
const orderTimeoutMs = 15_000;

/** Pause before a new order to an endpoint that did not accept the last one, in milliseconds. */
const retryMs = 300;

/** Time for which an endpoint that was ordered to load gets no other work, in milliseconds; its reports extend it. */
const loadPauseMs = 250;

/**
 * Maximum age of a report's content, in milliseconds: reports lag by some hundred milliseconds. An endpoint that has just begun to load must not count as
 * one that has not taken its order, otherwise two endpoints of a model load together.
 */
const maxReportAgeMs = 600;

/**
 * Maximum age of model assignments, in milliseconds; a change of endpoints or versions invalidates them at once. They are cached because computing them
 * for 10,000 endpoints takes longer than the interval between two ticks.
 */
const maxAssignmentAgeMs = 1000;

/** Factor by which an announced load exceeds the mean load time: loads that begin together slow one another down. */
const loadMargin = 1.25;

/** Models assigned to each endpoint of a service, the endpoint count and versions that they were computed from, and when, on the monotonic clock. */
type ModelAssignments = {models: ReadonlyMap<string, readonly string[]>; basis: string; madeAt: number};

type Transition = {
	model: string;
	version: number;
	/** Orders that the endpoint had accepted before. */
	expectedOrders: number;
	/** Start time of the endpoint's incarnation that got the order. */
	bornMs: number | undefined;
	startedAt: number;
	nextCheckAt: number;
};

/** Sends weight orders to endpoints. */
export class WeightOrders {
	readonly #settings: WeightOrdersSettings;
	readonly #policy: Policy;
	readonly #schedule: LoadSchedule;
	readonly #loading = new Map<string, Transition>();
	readonly #retryAt = new Map<string, number>();
	/** Models by endpoint for which an order is being sent. */
	readonly #ordering = new Map<string, string>();
	/** Model assignments by service. */
	readonly #assignments = new Map<string, ModelAssignments>();
	#lastOrderAt = Number.NEGATIVE_INFINITY;

	constructor(settings: WeightOrdersSettings) {
		this.#settings = settings;
		this.#policy = settings.policy ?? defaultPolicy;
		this.#schedule = new LoadSchedule(this.#policy, settings.findWaiting);
	}

	/** Milliseconds since this process last sent an order; infinite if it never did. */
	get sinceOrderMs(): number {
		return performance.now() - this.#lastOrderAt;
	}

	/** Records a published version; one that is older than the known one is ignored. */
	publish(model: string, version: number): void {
		this.#schedule.publish(model, version);
		this.#settings.directory.loads.recordPublished(model, this.findPublishedVersion(model) ?? version);
	}

	/** The newest published version of a model. */
	findPublishedVersion(model: string): number | undefined {
		return this.#schedule.findVersion(model);
	}

	/** The newest published version of each model. */
	get publishedVersions(): ReadonlyMap<string, number> {
		return this.#schedule.versions;
	}

	/** Checks the orders in progress and sends the due ones; call it several times a second. */
	tick(): void {
		const {lease, directory} = this.#settings;
		if (!lease.holds()) {
			this.#loading.clear();
			return;
		}

		const {isServed = () => true} = this.#settings;
		const services = groupBy(directory.list().filter(({service}) => isServed(service)), ({service}) => service);
		for (const endpoints of services.values()) {
			this.#checkOrders(endpoints);
			this.#orderDue(endpoints, this.#findAssignments(endpoints));
		}
	}

	/** Models assigned to each endpoint; draining endpoints have none. */
	#findAssignments(endpoints: readonly RegisteredEndpoint[]): ReadonlyMap<string, readonly string[]> {
		const {service} = endpoints[0]!;
		const serving = endpoints.filter(({isDraining}) => !isDraining);
		const basis = [serving.length, ...this.#schedule.versions.values()].join(' ');
		const known = this.#assignments.get(service);
		const now = performance.now();
		if (known?.basis === basis && now - known.madeAt < maxAssignmentAgeMs) {
			return known.models;
		}

		const assigned = this.#assign(serving);
		this.#assignments.set(service, {models: assigned, basis, madeAt: now});
		this.#logChanges(known?.models, assigned);
		return assigned;
	}

	#assign(endpoints: readonly RegisteredEndpoint[]): Map<string, readonly string[]> {
		const {directory, findDemands} = this.#settings;
		return assignModels({
			endpoints: endpoints.map(({id, models}) => ({
				id, versions: new Map(models.map(({model}) => [model, directory.findVersion(id, model) ?? 0])), paceMs: directory.findPersistentMs(id),
			})),
			published: this.#schedule.versions,
			demands: findDemands?.() ?? new Map<string, ModelDemand>(),
			last: new Map([...this.#assignments.values()].flatMap(({models: assigned}) => [...assigned]).flatMap(([id, models]) => models.length === 1 ? [[id, models[0]!]] : [])),
		}, this.#policy.placement);
	}

	/** Logs the endpoints whose assigned model has changed. */
	#logChanges(before: ReadonlyMap<string, readonly string[]> | undefined, assigned: ReadonlyMap<string, readonly string[]>): void {
		const {directory, findDemands, log} = this.#settings;
		const demands = findDemands?.();
		for (const [endpoint, models] of assigned) {
			const from = before?.get(endpoint)?.join(',');
			if (models.length === 1 && models[0] !== from) {
				log.info('endpoint_placed', {
					endpoint, model: models[0], from, work: demands?.get(models[0]!)?.work, longest: demands?.get(models[0]!)?.longest, classMs: directory.findPersistentMs(endpoint),
				});
			}
		}
	}

	/** Finishes, abandons or checks the orders in progress. */
	#checkOrders(endpoints: readonly RegisteredEndpoint[]): void {
		const now = performance.now();
		for (const endpoint of endpoints) {
			const transition = this.#loading.get(endpoint.id);
			if (transition && !isOfIncarnation(transition.bornMs, endpoint)) {
				this.#loading.delete(endpoint.id);
				this.#retryAt.delete(endpoint.id);
			} else if (transition && this.#holds(endpoint, transition)) {
				this.#finish(endpoint, transition);
			} else if (transition && now - transition.startedAt > orderTimeoutMs) {
				this.#loading.delete(endpoint.id);
			} else if (transition && now >= transition.nextCheckAt) {
				transition.nextCheckAt = now + reportIntervalMs;
				void this.#checkReport(endpoint, transition);
			}
		}
	}

	#holds({id}: RegisteredEndpoint, {model, version}: Transition): boolean {
		return (this.#settings.directory.findVersion(id, model) ?? 0) >= version;
	}

	#finish({id}: RegisteredEndpoint, {model, version, startedAt}: Transition): void {
		const elapsedMs = Math.round(performance.now() - startedAt);
		this.#loading.delete(id);
		this.#schedule.recordLoad(elapsedMs);
		this.#settings.log.info('weights_loaded', {
			endpoint: id, model, version, elapsedMs,
		});
	}

	async #checkReport(endpoint: RegisteredEndpoint, transition: Transition): Promise<void> {
		const report = await this.#fetchReport(endpoint);
		if (!report) {
			return;
		}

		const isOpen = this.#loading.get(endpoint.id) === transition && !this.#holds(endpoint, transition);
		const isTaken = report.isBusy || report.orderCount > transition.expectedOrders;
		if (isOpen && (isTaken || performance.now() - transition.startedAt < maxReportAgeMs)) {
			this.#settings.directory.pause(endpoint.id, loadPauseMs);
		} else if (isOpen) {
			// The load is neither in progress nor done, so the endpoint has not taken the order.
			this.#loading.delete(endpoint.id);
			this.#announceLoad({endpoint: endpoint.id, model: transition.model, version: transition.version}, 0);
			this.#retryAt.set(endpoint.id, performance.now() + retryMs);
		}
	}

	#announceLoad(load: WeightLoad, forMs: number): void {
		this.#settings.directory.loads.record(load, forMs);
		this.#settings.announceLoad?.(load, forMs);
	}

	async #fetchReport(endpoint: RegisteredEndpoint): Promise<ServingReport | undefined> {
		const {client, directory, log} = this.#settings;
		try {
			const report = await client.report(endpoint);
			const registered = directory.get(endpoint.id) ?? endpoint;
			if (![endpoint.bornMs, report.bornMs].every(bornMs => isOfIncarnation(bornMs, registered))) {
				log.info('report_of_other_start', {endpoint: endpoint.id, registered: registered.bornMs, told: report.bornMs});
				return undefined;
			}

			for (const {model, version} of report.models) {
				directory.recordVersion(endpoint.id, model, version);
			}

			return report;
		} catch (error) {
			log.info('report_failed', {endpoint: endpoint.id, reason: describeError(error)});
			return undefined;
		}
	}

	#orderDue(endpoints: readonly RegisteredEndpoint[], assigned: ReadonlyMap<string, readonly string[]>): void {
		const maxLoading = Math.max(1, Math.round(endpoints.length * loadingFraction));
		let freeLoads = maxLoading - endpoints.filter(({id}) => this.#loading.has(id) || this.#ordering.has(id)).length;
		const now = performance.now();
		const dueModels = this.#listDue(endpoints, assigned, maxLoading);
		const due = endpoints
			.filter(({id, isDraining}) => !isDraining && !this.#loading.has(id) && !this.#ordering.has(id) && (this.#retryAt.get(id) ?? 0) <= now)
			.flatMap(endpoint => {
				const pending = this.#findPendingVersion(endpoint, (assigned.get(endpoint.id) ?? []).filter(model => dueModels.has(model) || this.#isTooOld(endpoint, model)));
				return pending ? [{endpoint, pending}] : [];
			})
			// Endpoints with the oldest weights come first, since they delay the most work; then the least busy ones.
			.toSorted((a, b) => a.pending.from - b.pending.from || this.#settings.directory.countOpen(a.endpoint.id) - this.#settings.directory.countOpen(b.endpoint.id));
		for (const {endpoint, pending} of due) {
			if (freeLoads <= 0) {
				return;
			}

			if (!this.#mayLoad(pending.model, assigned)) {
				continue;
			}

			freeLoads -= 1;
			this.#ordering.set(endpoint.id, pending.model);
			void this.#sendOrder(endpoint, pending.model, pending.version).finally(() => {
				this.#ordering.delete(endpoint.id);
			});
		}
	}

	/** Whether an endpoint is more than one version behind. Steps admit only the previous version, so it can't serve the waiting work and need not delay its load. */
	#isTooOld({id}: RegisteredEndpoint, model: string): boolean {
		return (this.#settings.directory.findVersion(id, model) ?? 0) < (this.#schedule.findVersion(model) ?? 0) - 1;
	}

	/** Models whose assigned endpoints should load now. */
	#listDue(endpoints: readonly RegisteredEndpoint[], assigned: ReadonlyMap<string, readonly string[]>, maxLoading: number): Set<string> {
		return new Set([...this.#schedule.versions].filter(([model, version]) => {
			const assignedIds = listAssigned(assigned, model);
			const outdatedCount = assignedIds.filter(id => (this.#settings.directory.findVersion(id, model) ?? 0) < version).length;
			// A model's share of the service's concurrent loads is proportional to its assigned endpoints.
			const modelLimit = Math.round(maxLoading * assignedIds.length / Math.max(1, endpoints.length));
			return outdatedCount > 0 && this.#schedule.isDue({model, endpoints: outdatedCount, width: Math.min(modelLimit, this.#findMaxLoading(assignedIds.length))});
		}).map(([model]) => model));
	}

	/** Maximum number of the endpoints assigned to a model that may load it at once. */
	#findMaxLoading(assignedCount: number): number {
		return this.#policy.staggersLoads ? Math.max(1, Math.floor(assignedCount * modelLoadingFraction)) : assignedCount;
	}

	/** Whether one more of the endpoints assigned to a model may load it. */
	#mayLoad(model: string, assigned: ReadonlyMap<string, readonly string[]>): boolean {
		const assignedIds = listAssigned(assigned, model);
		const loading = assignedIds.filter(id => this.#loading.get(id)?.model === model || this.#ordering.get(id) === model).length;
		return loading < this.#findMaxLoading(assignedIds.length);
	}

	#findPendingVersion({id}: RegisteredEndpoint, models: readonly string[]): {model: string; version: number; from: number} | undefined {
		for (const model of models) {
			const version = this.#schedule.findVersion(model) ?? 0;
			const from = this.#settings.directory.findVersion(id, model) ?? 0;
			if (version > from) {
				return {model, version, from};
			}
		}

		return undefined;
	}

	/** Reads how many orders the endpoint has accepted, then sends the order conditional on that count. */
	async #sendOrder(endpoint: RegisteredEndpoint, model: string, version: number): Promise<void> {
		const {lease, client, holder, directory, log, chooseMode, orderMarginMs} = this.#settings;
		const report = await this.#fetchReport(endpoint);
		const isHeld = (directory.findVersion(endpoint.id, model) ?? 0) >= version;
		if (!report || report.isBusy || isHeld) {
			this.#retryAt.set(endpoint.id, performance.now() + retryMs);
			return;
		}

		// The lease may have lapsed while the report was in transit, and must not lapse while the order is.
		const {fence} = lease;
		if (fence === 0 || !lease.holds(orderMarginMs)) {
			return;
		}

		const startedAt = performance.now();
		this.#lastOrderAt = startedAt;
		this.#loading.set(endpoint.id, {
			model, version, expectedOrders: report.orderCount, bornMs: endpoint.bornMs, startedAt, nextCheckAt: startedAt + reportIntervalMs,
		});
		directory.pause(endpoint.id, loadPauseMs);
		this.#announceLoad({endpoint: endpoint.id, model, version}, this.#schedule.loadMs * loadMargin);
		try {
			const outcome = await client.order(endpoint, {
				model, version, mode: chooseMode(endpoint.service), expectedOrders: report.orderCount, holder, fence,
			});
			log.info('weights_ordered', {
				endpoint: endpoint.id, model, version, outcome, fence, expected: report.orderCount,
			});
			this.#recordOutcome(endpoint, {model, version}, outcome);
		} catch (error) {
			// The order may still be executed late. The report shows it, and a repeat on the same condition is harmless.
			log.warn('order_unanswered', {
				endpoint: endpoint.id, model, version, reason: describeError(error),
			});
		}
	}

	#recordOutcome({id}: RegisteredEndpoint, pending: HeldModel, outcome: OrderOutcome): void {
		if (outcome === 'misdirected') {
			// Its registration points to a different server, so orders would fail again and again.
			this.#settings.directory.recordMisdirected(id);
		}

		if (outcome !== 'accepted') {
			this.#loading.delete(id);
			this.#announceLoad({endpoint: id, ...pending}, 0);
			this.#retryAt.set(id, performance.now() + (outcome === 'fenced' ? orderTimeoutMs : retryMs));
		}
	}
}

function listAssigned(assigned: ReadonlyMap<string, readonly string[]>, model: string): string[] {
	return [...assigned].filter(([, models]) => models.includes(model)).map(([id]) => id);
}
