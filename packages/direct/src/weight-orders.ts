/**
 * Brings endpoints to the published versions of their models, by orders given directly to them.
 *
 * Load pattern: a new version every few seconds while steps are being made. Only a part of a service loads at a time, so that
 * the rest goes on; an order names how many orders the endpoint must have accepted before, so that one that is carried out
 * late, after a newer one, does nothing. No order is given without the lease, and none whose version an endpoint holds.
 */
import {
	defaultPolicy, placeModels, type ModelNeed, type Policy,
} from '@wasabiusher/decisions';
import type {
	LoadMode, OrderOutcome, ServingClient, ServingReport,
} from '@wasabiusher/backends';
import {
	describeError, groupBy, type HeldModel, type Log, type RegisteredEndpoint,
} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import {isOfStart} from './restart-watch.js';
import {LoadSchedule} from './load-schedule.js';
import type {WeightLoad} from './load-windows.js';

/** The right to give orders; a `LeaseHolder` has this shape. */
export type OrderRight = {readonly fence: number; holds(roomMs?: number): boolean};

export type WeightOrdersSettings = {
	directory: EndpointDirectory;
	client: ServingClient;
	right: OrderRight;
	/** Time for which the right must last beyond the send of an order, in milliseconds; 0 where endpoints refuse an old fence themselves. */
	orderRoomMs?: number;
	/** Name of this process, told with each order. */
	holder: string;
	log: Log;
	policy?: Policy;
	/** How runs under way are treated at a service. */
	chooseMode(service: string): LoadMode;
	/** Tells the other hosts that an endpoint begins to load, for how long it probably will, in milliseconds, or with 0 that it does not. */
	tellLoad?(load: WeightLoad, forMs: number): void;
	/** Whether the configuration names a service; others get no orders. All are by default. */
	isServed?(service: string): boolean;
	/** What the steps of each model ask for of late. */
	findNeeds?(): ReadonlyMap<string, ModelNeed>;
	/** Texts of a model that have not begun, at all hosts; undefined if nobody tells. */
	findWaiting?(model: string): number | undefined;
};

/** Part of a service's endpoints that load at once: a store of weights slows down beyond it, and the others must carry the load. */
const loadingFraction = 0.3;

/**
 * Part of the endpoints that follow one model which load it at once: if both of a model's two endpoints loaded together, none could make its
 * samples for about a second.
 */
const modelFraction = 0.5;

/** Time between looks at an endpoint that carries out an order, in milliseconds; a load takes about a second and a report is priced as a probe. */
const reportMs = 150;

/** Time after which an endpoint that carries out an order is no longer waited for, in milliseconds: several times a slow load. */
const orderMs = 15_000;

/** Pause before an endpoint that did not take an order is asked again, in milliseconds. */
const retryMs = 300;

/** Time for which other work is kept from an endpoint that was told to load, in milliseconds; its reports prolong it. */
const holdBackMs = 250;

/**
 * Age that a report may have, in milliseconds: endpoints tell what was some hundred milliseconds ago. An endpoint that has just begun
 * to load must not be taken for one that has not taken its order, or two endpoints of a model load together.
 */
const reportLagMs = 600;

/**
 * Longest time for which the places of models hold, in milliseconds; a change of endpoints or versions ends it at once. Working them out
 * for 10,000 endpoints takes longer than the time between two looks.
 */
const placesMs = 1000;

/** How much longer than usual a load is waited for: those that begin together slow one another down. */
const loadMargin = 1.25;

/** Which models each endpoint of a service follows, and the number of endpoints and the versions that this was worked out from. */
type Places = {placed: ReadonlyMap<string, readonly string[]>; basis: string; madeAt: number};

type Transition = {
	model: string;
	version: number;
	/** Orders that the endpoint had accepted before. */
	expectedOrders: number;
	/** The start of the endpoint that was told. */
	bornMs: number | undefined;
	startedAt: number;
	nextLookAt: number;
};

/** Gives orders for weights. */
export class WeightOrders {
	readonly #settings: WeightOrdersSettings;
	readonly #policy: Policy;
	readonly #schedule: LoadSchedule;
	readonly #loading = new Map<string, Transition>();
	readonly #notBefore = new Map<string, number>();
	/** Models that endpoints are just being told to load. */
	readonly #busy = new Map<string, string>();
	/** By service. */
	readonly #places = new Map<string, Places>();
	#orderedAt = Number.NEGATIVE_INFINITY;

	constructor(settings: WeightOrdersSettings) {
		this.#settings = settings;
		this.#policy = settings.policy ?? defaultPolicy;
		this.#schedule = new LoadSchedule(this.#policy, settings.findWaiting);
	}

	/** Milliseconds since this process last sent an order; infinite if it never did. */
	get sinceOrderMs(): number {
		return performance.now() - this.#orderedAt;
	}

	/** Learns of a published version; an older one than known is ignored. */
	publish(model: string, version: number): void {
		this.#schedule.publish(model, version);
		this.#settings.directory.loads.notePublished(model, this.findPublished(model) ?? version);
	}

	/** The newest published version of a model. */
	findPublished(model: string): number | undefined {
		return this.#schedule.findVersion(model);
	}

	/** The newest published version of each model. */
	get published(): ReadonlyMap<string, number> {
		return this.#schedule.versions;
	}

	/** Gives what orders are due and looks after those under way; to be called some times a second. */
	tick(): void {
		const {right, directory} = this.#settings;
		if (!right.holds()) {
			this.#loading.clear();
			return;
		}

		const {isServed = () => true} = this.#settings;
		const services = groupBy(directory.list().filter(({service}) => isServed(service)), ({service}) => service);
		for (const endpoints of services.values()) {
			this.#look(endpoints);
			this.#order(endpoints, this.#findPlaces(endpoints));
		}
	}

	/** Which models each endpoint follows; those that leave follow none. */
	#findPlaces(endpoints: readonly RegisteredEndpoint[]): ReadonlyMap<string, readonly string[]> {
		const {service} = endpoints[0]!;
		const serving = endpoints.filter(({isDraining}) => !isDraining);
		const basis = [serving.length, ...this.#schedule.versions.values()].join(' ');
		const known = this.#places.get(service);
		const now = performance.now();
		if (known?.basis === basis && now - known.madeAt < placesMs) {
			return known.placed;
		}

		const placed = this.#place(serving);
		this.#places.set(service, {placed, basis, madeAt: now});
		this.#tell(known?.placed, placed);
		return placed;
	}

	#place(endpoints: readonly RegisteredEndpoint[]): Map<string, readonly string[]> {
		const {directory, findNeeds} = this.#settings;
		return placeModels({
			holders: endpoints.map(({id, models}) => ({
				id, versions: new Map(models.map(({model}) => [model, directory.findVersion(id, model) ?? 0])), paceMs: directory.findClassMs(id),
			})),
			published: this.#schedule.versions,
			needs: findNeeds?.() ?? new Map<string, ModelNeed>(),
			last: new Map([...this.#places.values()].flatMap(({placed}) => [...placed]).flatMap(([id, models]) => models.length === 1 ? [[id, models[0]!]] : [])),
		}, this.#policy.placement);
	}

	/** Logs which endpoints have changed their models. */
	#tell(before: ReadonlyMap<string, readonly string[]> | undefined, placed: ReadonlyMap<string, readonly string[]>): void {
		const {directory, findNeeds, log} = this.#settings;
		const needs = findNeeds?.();
		for (const [endpoint, models] of placed) {
			const from = before?.get(endpoint)?.join(',');
			if (models.length === 1 && models[0] !== from) {
				log.info('endpoint_placed', {
					endpoint, model: models[0], from, work: needs?.get(models[0]!)?.work, longest: needs?.get(models[0]!)?.longest, classMs: directory.findClassMs(endpoint),
				});
			}
		}
	}

	/** Looks after orders under way. */
	#look(endpoints: readonly RegisteredEndpoint[]): void {
		const now = performance.now();
		for (const endpoint of endpoints) {
			const transition = this.#loading.get(endpoint.id);
			if (transition && !isOfStart(transition.bornMs, endpoint)) {
				this.#loading.delete(endpoint.id);
				this.#notBefore.delete(endpoint.id);
			} else if (transition && this.#holds(endpoint, transition)) {
				this.#finish(endpoint, transition);
			} else if (transition && now - transition.startedAt > orderMs) {
				this.#loading.delete(endpoint.id);
			} else if (transition && now >= transition.nextLookAt) {
				transition.nextLookAt = now + reportMs;
				void this.#readReport(endpoint, transition);
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

	async #readReport(endpoint: RegisteredEndpoint, transition: Transition): Promise<void> {
		const report = await this.#askReport(endpoint);
		if (!report) {
			return;
		}

		const isOpen = this.#loading.get(endpoint.id) === transition && !this.#holds(endpoint, transition);
		const isTaken = report.isBusy || report.orderCount > transition.expectedOrders;
		if (isOpen && (isTaken || performance.now() - transition.startedAt < reportLagMs)) {
			this.#settings.directory.pause(endpoint.id, holdBackMs);
		} else if (isOpen) {
			// Neither under way nor done: the order was not taken.
			this.#loading.delete(endpoint.id);
			this.#tellLoad({endpoint: endpoint.id, model: transition.model, version: transition.version}, 0);
			this.#notBefore.set(endpoint.id, performance.now() + retryMs);
		}
	}

	#tellLoad(load: WeightLoad, forMs: number): void {
		this.#settings.directory.loads.note(load, forMs);
		this.#settings.tellLoad?.(load, forMs);
	}

	async #askReport(endpoint: RegisteredEndpoint): Promise<ServingReport | undefined> {
		const {client, directory, log} = this.#settings;
		try {
			const report = await client.report(endpoint);
			const registered = directory.get(endpoint.id) ?? endpoint;
			if (![endpoint.bornMs, report.bornMs].every(bornMs => isOfStart(bornMs, registered))) {
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

	#order(endpoints: readonly RegisteredEndpoint[], placed: ReadonlyMap<string, readonly string[]>): void {
		const most = Math.max(1, Math.round(endpoints.length * loadingFraction));
		let free = most - endpoints.filter(({id}) => this.#loading.has(id) || this.#busy.has(id)).length;
		const now = performance.now();
		const dueModels = this.#listDue(endpoints, placed, most);
		const due = endpoints
			.filter(({id, isDraining}) => !isDraining && !this.#loading.has(id) && !this.#busy.has(id) && (this.#notBefore.get(id) ?? 0) <= now)
			.flatMap(endpoint => {
				const wanted = this.#findWanted(endpoint, (placed.get(endpoint.id) ?? []).filter(model => dueModels.has(model) || this.#isTooOld(endpoint, model)));
				return wanted ? [{endpoint, wanted}] : [];
			})
			// The oldest weights first: they hold up the most; then the least busy.
			.toSorted((a, b) => a.wanted.from - b.wanted.from || this.#settings.directory.countOpen(a.endpoint.id) - this.#settings.directory.countOpen(b.endpoint.id));
		for (const {endpoint, wanted} of due) {
			if (free <= 0) {
				return;
			}

			if (!this.#mayLoad(wanted.model, placed)) {
				continue;
			}

			free -= 1;
			this.#busy.set(endpoint.id, wanted.model);
			void this.#give(endpoint, wanted.model, wanted.version).finally(() => {
				this.#busy.delete(endpoint.id);
			});
		}
	}

	/** Whether an endpoint can't serve what waits: steps admit one version back. It has nothing to wait for. */
	#isTooOld({id}: RegisteredEndpoint, model: string): boolean {
		return (this.#settings.directory.findVersion(id, model) ?? 0) < (this.#schedule.findVersion(model) ?? 0) - 1;
	}

	/** Models whose endpoints should load now. */
	#listDue(endpoints: readonly RegisteredEndpoint[], placed: ReadonlyMap<string, readonly string[]>, most: number): Set<string> {
		return new Set([...this.#schedule.versions].filter(([model, version]) => {
			const followers = listFollowers(placed, model);
			const left = followers.filter(id => (this.#settings.directory.findVersion(id, model) ?? 0) < version).length;
			// Of what the service may load at once a model has its part.
			const part = Math.round(most * followers.length / Math.max(1, endpoints.length));
			return left > 0 && this.#schedule.isDue({model, endpoints: left, width: Math.min(part, this.#findWidth(followers.length))});
		}).map(([model]) => model));
	}

	/** How many of the endpoints that follow a model may load it at once. */
	#findWidth(followers: number): number {
		return this.#policy.staggersLoads ? Math.max(1, Math.floor(followers * modelFraction)) : followers;
	}

	/** Whether one more of the endpoints that follow a model may load it. */
	#mayLoad(model: string, placed: ReadonlyMap<string, readonly string[]>): boolean {
		const followers = listFollowers(placed, model);
		const loading = followers.filter(id => this.#loading.get(id)?.model === model || this.#busy.get(id) === model).length;
		return loading < this.#findWidth(followers.length);
	}

	#findWanted({id}: RegisteredEndpoint, models: readonly string[]): {model: string; version: number; from: number} | undefined {
		for (const model of models) {
			const version = this.#schedule.findVersion(model) ?? 0;
			const from = this.#settings.directory.findVersion(id, model) ?? 0;
			if (version > from) {
				return {model, version, from};
			}
		}

		return undefined;
	}

	/** Reads how many orders the endpoint has accepted, then gives the order on that condition. */
	async #give(endpoint: RegisteredEndpoint, model: string, version: number): Promise<void> {
		const {right, client, holder, directory, log, chooseMode, orderRoomMs} = this.#settings;
		const report = await this.#askReport(endpoint);
		const holdsIt = (directory.findVersion(endpoint.id, model) ?? 0) >= version;
		if (!report || report.isBusy || holdsIt) {
			this.#notBefore.set(endpoint.id, performance.now() + retryMs);
			return;
		}

		// The lease may have lapsed while the report was on its way, and must not lapse while the order is.
		const {fence} = right;
		if (fence === 0 || !right.holds(orderRoomMs)) {
			return;
		}

		const startedAt = performance.now();
		this.#orderedAt = startedAt;
		this.#loading.set(endpoint.id, {
			model, version, expectedOrders: report.orderCount, bornMs: endpoint.bornMs, startedAt, nextLookAt: startedAt + reportMs,
		});
		directory.pause(endpoint.id, holdBackMs);
		this.#tellLoad({endpoint: endpoint.id, model, version}, this.#schedule.loadMs * loadMargin);
		try {
			const outcome = await client.order(endpoint, {
				model, version, mode: chooseMode(endpoint.service), expectedOrders: report.orderCount, holder, fence,
			});
			log.info('weights_ordered', {
				endpoint: endpoint.id, model, version, outcome, fence, expected: report.orderCount,
			});
			this.#noteOutcome(endpoint, {model, version}, outcome);
		} catch (error) {
			// It may be carried out late; the report tells, and a repeat on the same condition does no harm.
			log.warn('order_unanswered', {
				endpoint: endpoint.id, model, version, reason: describeError(error),
			});
		}
	}

	#noteOutcome({id}: RegisteredEndpoint, wanted: HeldModel, outcome: OrderOutcome): void {
		if (outcome === 'misdirected') {
			// Its registration names a server that is not there, so it would be asked again and again.
			this.#settings.directory.recordMisdirected(id);
		}

		if (outcome !== 'accepted') {
			this.#loading.delete(id);
			this.#tellLoad({endpoint: id, ...wanted}, 0);
			this.#notBefore.set(id, performance.now() + (outcome === 'fenced' ? orderMs : retryMs));
		}
	}
}

function listFollowers(placed: ReadonlyMap<string, readonly string[]>, model: string): string[] {
	return [...placed].filter(([, models]) => models.includes(model)).map(([id]) => id);
}
