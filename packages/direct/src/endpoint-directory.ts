/**
 * The endpoints that are registered, with what this process has seen of each.
 */
import {
	chooseDirect, defaultPolicy, findSlowPace, Lateness, listBetter, ReturnPlan, type Policy,
} from '@wasabiusher/decisions';
import type {ServingHead} from '@wasabiusher/backends';
import {dropOldest, type Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import type {RationSource} from '@wasabiusher/slots';
import {EndpointClasses} from './endpoint-classes.js';
import {chooseMove} from './endpoint-moves.js';
import {hasForeignRoom, isFit, type EndpointNeed} from './endpoint-need.js';
import {EndpointStanding} from './endpoint-standing.js';
import {LoadWindows} from './load-windows.js';
import {compareStarts} from './restart-watch.js';
import {SlotLimits} from './slot-limits.js';
import {ToldPaces} from './told-paces.js';

/**
 * How long an endpoint whose registration has vanished is still asked if nothing else can be, in milliseconds.
 * Registrations vanish as well when the store was down and are back within about two seconds; endpoints that
 * leave serve on for two seconds at least.
 */
const vanishedMs = 1200;

/** Endpoints that are remembered beyond that, the oldest are forgotten first: more than are hidden by an outage of the store while runs are open there. */
const maxForgotten = 1000;

/** Registered endpoints and their standing. */
export class EndpointDirectory {
	/** Lasting speeds, also of endpoints that are gone. */
	readonly classes = new EndpointClasses();
	/** Which of them load weights. */
	readonly loads: LoadWindows;
	readonly #standings = new Map<string, EndpointStanding>();
	/** Those whose registrations have vanished for longer than they are asked. */
	readonly #forgotten = new Map<string, EndpointStanding>();
	readonly #random: Random;
	readonly #policy: Policy;
	readonly #lateness: Lateness;
	readonly #listeners = new Set<(service: string) => void>();
	/** By endpoint; called when it has started again. */
	readonly #restartListeners = new Map<string, Set<() => void>>();
	readonly #paces = new ToldPaces(this.classes);
	#limits: SlotLimits | undefined;
	#moves = 0;
	/** By service. */
	readonly #returns = new Map<string, ReturnPlan>();

	/** @param lateness - of this process; what it reads late says nothing of the endpoints */
	constructor(random: Random, policy = defaultPolicy, lateness = new Lateness()) {
		this.#random = random;
		this.#policy = policy;
		this.#lateness = lateness;
		this.loads = new LoadWindows((id, model) => this.findVersion(id, model), policy.tellsLoads);
	}

	/** Takes over a registration. Of one that has started again nothing that was seen holds, and what a former start wrote late is ignored. */
	put(endpoint: RegisteredEndpoint): void {
		const known = this.#standings.get(endpoint.id) ?? this.#forgotten.get(endpoint.id);
		const relation = known ? compareStarts(endpoint, known.endpoint) : 'new';
		if (relation === 'former') {
			return;
		}

		const standing = known && relation === 'same' ? known : this.#create(endpoint, known);
		standing.register(endpoint);
		this.classes.guess(standing);
		for (const {model, version} of endpoint.models) {
			standing.recordVersion(model, version);
			this.loads.end({endpoint: endpoint.id, model, version});
		}

		this.#standings.set(endpoint.id, standing);
		this.#forgotten.delete(endpoint.id);
		if (known && known !== standing) {
			for (const listener of this.#restartListeners.get(endpoint.id) ?? []) {
				listener();
			}
		}

		this.#notify(standing);
	}

	/** Calls back when an endpoint has started again under its id; returns how to end that. */
	onRestart(id: string, listener: () => void): () => void {
		const listeners = this.#restartListeners.get(id) ?? new Set();
		this.#restartListeners.set(id, listeners.add(listener));
		return () => {
			listeners.delete(listener);
			if (listeners.size === 0 && this.#restartListeners.get(id) === listeners) {
				this.#restartListeners.delete(id);
			}
		};
	}

	/** Notes that a registration is gone; the endpoint is a last resort for a moment. */
	remove(id: string): void {
		const standing = this.#standings.get(id);
		if (standing) {
			standing.vanishedAt ??= performance.now();
		}
	}

	/** The registration of an endpoint, as last known. */
	get(id: string): RegisteredEndpoint | undefined {
		return this.#standings.get(id)?.endpoint;
	}

	/** Registered endpoints of a service, also those that are leaving. */
	list(service?: string): RegisteredEndpoint[] {
		this.#forget();
		return [...this.#standings.values()]
			.filter(({endpoint, vanishedAt}) => vanishedAt === undefined && (service === undefined || endpoint.service === service))
			.map(({endpoint}) => endpoint);
	}

	/** All endpoints with what this process has seen of them, for operators. */
	listStandings(): readonly EndpointStanding[] {
		return [...this.#standings.values()].filter(({vanishedAt}) => vanishedAt === undefined);
	}

	/** Newest version of a model that an endpoint is known to hold; undefined if it does not hold it. */
	findVersion(id: string, model: string): number | undefined {
		return this.#standings.get(id)?.findVersion(model);
	}

	/** Requests of this process that are open at an endpoint. */
	countOpen(id: string): number {
		return this.#standings.get(id)?.open ?? 0;
	}

	/** Time after which a caller that a service has no room for should come back, in milliseconds. */
	planReturn(service: string): number {
		const plan = this.#returns.get(service) ?? new ReturnPlan();
		this.#returns.set(service, plan);
		const serving = [...this.#standings.values()].filter(({endpoint, vanishedAt}) => endpoint.service === service && vanishedAt === undefined && !endpoint.isDraining);
		return plan.plan(serving.map(standing => standing.toRoom()));
	}

	/** Calls back with the service whenever an endpoint may have become free or fit; returns how to end that. */
	onChange(listener: (service: string) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Chooses an endpoint for an attempt and counts it as open there; undefined if none can be asked now. */
	take(need: EndpointNeed): RegisteredEndpoint | undefined {
		this.#forget();
		const fits = this.#listFits(need);
		const chosen = this.#choose(fits.filter(({vanishedAt}) => vanishedAt === undefined), need) ?? this.#choose(fits.filter(({vanishedAt}) => vanishedAt !== undefined), need);
		if (chosen) {
			this.#begin(chosen, need);
		} else {
			this.#limits?.noteUnmet(need, anyRoom => this.#listFits({...need, ...anyRoom}));
		}

		return chosen?.endpoint;
	}

	/** Shares slots with other hosts by rations from now on. */
	shareSlots(source: RationSource): SlotLimits {
		const limits = new SlotLimits(source, id => this.#standings.get(id));
		this.#limits = limits;
		source.onChange(() => {
			const services = new Set([...this.#standings.values()].map(({endpoint: {service}}) => service));
			for (const service of services) {
				this.#notifyOf(service);
			}
		});
		return limits;
	}

	/** Ends what `take` has begun. */
	release(id: string): void {
		const standing = this.#standings.get(id) ?? this.#forgotten.get(id);
		if (standing) {
			standing.end();
			this.#limits?.note(standing);
			this.#notify(standing);
		}
	}

	/**
	 * Learns from the beginning of an answer.
	 *
	 * @param model - what was asked for; an endpoint that has room, refuses it and does not hold its newest version loads it
	 */
	recordHead(id: string, head: ServingHead, model?: string): void {
		const standing = this.#standings.get(id);
		standing?.recordHead(head);
		this.#limits?.noteHead(standing, head);
		this.loads.noteHead(id, head, model);
	}

	/** Notes that another server has the address, so this one is gone. */
	recordMisdirected(id: string): void {
		this.#standings.delete(id);
	}

	/** Notes that nothing or nothing sound came back. */
	recordFailure(id: string): void {
		this.#standings.get(id)?.recordFailure();
	}

	/** Notes that nothing has come from an endpoint for long though a run was open there. */
	recordSilence(id: string): void {
		this.#standings.get(id)?.recordSilence();
	}

	/** When an answer or an event last came from an endpoint, on the monotonic clock. */
	findHeardAt(id: string): number {
		return this.#standings.get(id)?.heardAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Learns how long a unit of work took, in milliseconds. */
	recordPace(id: string, unitMs: number): void {
		const standing = this.#standings.get(id);
		if (this.#lateness.isLate) {
			standing?.noteHeard();
		} else {
			standing?.recordPace(unitMs);
		}
	}

	/**
	 * Learns how long a unit of work took on average over a whole run so far, in milliseconds. A run can't have been faster than its endpoint, however it
	 * came, while single units that come together after a pause on the way seem to take no time.
	 */
	recordRunPace(id: string, unitMs: number): void {
		const standing = this.#standings.get(id);
		standing?.recordRunPace(unitMs);
		if (standing) {
			this.classes.record(standing);
		}
	}

	/** The lasting speed of an endpoint as measured by any process, in milliseconds for a unit of work; undefined until known. */
	findClassMs(id: string): number | undefined {
		const standing = this.#standings.get(id);
		return this.#policy.plansTexts ? standing?.speed.classMs : standing?.bestMs;
	}

	/** Guesses lasting speeds by `classes`, once others have told some. */
	guessClasses(): void {
		for (const standing of this.#standings.values()) {
			this.classes.guess(standing);
		}
	}

	/** Best paces of late that this process has measured, in milliseconds; of `most` endpoints at most, by turns. */
	listOwnPaces(most: number): Record<string, number> {
		return this.#paces.list([...this.#standings.values()], most);
	}

	/** Learns what other processes have measured. */
	learnPaces(paces: Readonly<Record<string, number>>): void {
		this.#paces.learn(paces, id => this.#standings.get(id));
	}

	/** The best pace of late of an endpoint as measured by any process, in milliseconds. */
	findBestPace(id: string): number | undefined {
		return this.#standings.get(id)?.bestMs;
	}

	/**
	 * Chooses an endpoint at which a run of another had better go on, and counts the run as open there; undefined if there is none. It is taken before the run
	 * leaves, so that the run doesn't end up at another slow endpoint that is merely nearer.
	 *
	 * @param isLong - whether the run has made many events already, and since it was last moved
	 */
	takeBetter(id: string, need: EndpointNeed, isLong: boolean): RegisteredEndpoint | undefined {
		const current = this.#standings.get(id);
		if (!this.#policy.movesRuns || !current || this.#lateness.isLate) {
			return undefined;
		}

		const others = this.#listFits({...need, waiter: undefined}).filter(standing => standing !== current && standing.vanishedAt === undefined);
		const better = listBetter(current.toCandidate(undefined), others.map(standing => standing.toCandidate(need.warmKey, need.homes)), isLong);
		const chosen = chooseDirect(better, this.#random.next());
		const standing = chosen && this.#standings.get(chosen.id);
		if (standing) {
			this.#begin(standing, need);
		}

		return standing?.endpoint;
	}

	/**
	 * Chooses an endpoint at which a text had better go on that its own would finish too late, and counts it as open there; undefined if it stays.
	 *
	 * @param madeHere - events that it has made at its present endpoint
	 */
	takeFaster(id: string, need: EndpointNeed & {units: number}, madeHere: number): RegisteredEndpoint | undefined {
		const current = this.#standings.get(id);
		if (!this.#policy.movesRuns || !current || this.#lateness.isLate) {
			return undefined;
		}

		const {units: unitsLeft, dueInMs, warmKey, homes} = need;
		const standing = chooseMove({
			text: {madeHere, unitsLeft, dueInMs}, current, listOthers: () => this.#listFits({...need, waiter: undefined}).filter(({vanishedAt}) => vanishedAt === undefined), warmKey, homes, chance: this.#random.next(),
		});
		if (standing) {
			this.#moves += 1;
			this.#begin(standing, need);
		}

		return standing?.endpoint;
	}

	/** Texts that have left an endpoint for a faster one since the start. */
	get counts(): {movedTexts: number} {
		return {movedTexts: this.#moves};
	}

	/** Learns which version of a model an endpoint serves. */
	recordVersion(id: string, model: string, version: number): void {
		const standing = this.#standings.get(id);
		const isNew = standing?.recordVersion(model, version) ?? false;
		if ((this.loads.end({endpoint: id, model, version}) || isNew) && standing) {
			this.#notify(standing);
		}
	}

	/** Leaves an endpoint alone for a time, such as while it loads weights. */
	pause(id: string, pauseMs: number): void {
		this.#standings.get(id)?.pause(pauseMs);
	}

	/** Endpoints that can be asked now. */
	#listFits(need: EndpointNeed): EndpointStanding[] {
		const slowMs = need.avoidsSlow ? this.#findSlowPace(need.service) : undefined;
		const model = need.least?.model ?? need.exact?.model;
		const allows = (standing: EndpointStanding) => need.waiter === undefined || this.#limits === undefined || this.#limits.allows(standing);
		const fits = [...this.#standings.values()].filter(standing => standing.isAvailable && isFit(standing, need) && !standing.isSlower(slowMs)
			&& (model === undefined || !this.loads.covers(standing.endpoint.id, model)) && allows(standing));
		const {homes} = need;
		if (!homes) {
			return fits;
		}

		const isProbing = [...this.#standings.values()].some(({endpoint, awaitsHead}) => !homes.has(endpoint.id) && endpoint.service === need.service && awaitsHead);
		return fits.filter(standing => homes.has(standing.endpoint.id) || (standing.isLoadKnown ? hasForeignRoom(standing) : standing.open === 0 && !isProbing));
	}

	#findSlowPace(service: string): number | undefined {
		const serving = [...this.#standings.values()].filter(({endpoint, vanishedAt}) => endpoint.service === service && vanishedAt === undefined && !endpoint.isDraining);
		return findSlowPace(serving.map(({lastingMs}) => lastingMs));
	}

	#choose(standings: readonly EndpointStanding[], need: EndpointNeed): EndpointStanding | undefined {
		const {units, dueInMs} = need;
		const text = units === undefined || !this.#policy.plansTexts ? undefined : {units, dueInMs};
		const chosen = chooseDirect(standings.map(standing => standing.toCandidate(need.warmKey, need.homes)), this.#random.next(), text);
		return chosen && this.#standings.get(chosen.id);
	}

	#begin(standing: EndpointStanding, {warmKey, waiter}: EndpointNeed): void {
		standing.begin(warmKey);
		this.#limits?.noteBegun(standing, waiter);
	}

	#create(endpoint: RegisteredEndpoint, former: EndpointStanding | undefined): EndpointStanding {
		this.loads.forget(endpoint.id);
		return new EndpointStanding(endpoint, this.#policy, former?.countEnds());
	}

	#forget(): void {
		const now = performance.now();
		for (const [id, standing] of this.#standings) {
			const {vanishedAt} = standing;
			if (vanishedAt !== undefined && now - vanishedAt > vanishedMs) {
				this.#standings.delete(id);
				this.#remember(id, standing);
				this.loads.forget(id);
			}
		}
	}

	/** Keeps what is known of an endpoint that is not asked any more: its registration may come back, and its open attempts end one day. */
	#remember(id: string, standing: EndpointStanding): void {
		this.#forgotten.set(id, standing);
		dropOldest(this.#forgotten, maxForgotten);
	}

	#notify({endpoint: {service}}: EndpointStanding): void {
		this.#notifyOf(service);
	}

	#notifyOf(service: string): void {
		for (const listener of this.#listeners) {
			listener(service);
		}
	}
}
