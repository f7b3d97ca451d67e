/**
 * The endpoints that are registered, with what this process has seen of each.
 */
import {
	chooseDirect, defaultPolicy, findSlowPace, Lateness, listBetter, ReturnPlan, type Policy,
} from '@wasabiusher/decisions';
import type {ServingHead} from '@wasabiusher/backends';
import {dropOldest, type Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import type {RationSource} from '@wasabiusher/slots';
import {PersistentSpeeds} from './persistent-speeds.js';
import {chooseMove} from './endpoint-moves.js';
import {hasSharedHeadroom, isEligible, type EndpointRequirement} from './endpoint-requirement.js';
import {EndpointStanding} from './endpoint-state.js';
import {LoadWindows} from './load-windows.js';
import {compareIncarnations} from './restart-watch.js';
import {SlotLimits} from './slot-limits.js';
import {ReportedPaces} from './reported-paces.js';

/**
 * How long an endpoint whose registration has vanished is still asked if nothing else can be, in milliseconds.
 * Registrations vanish as well when the store was down and are back within about two seconds; endpoints that
 * leave serve on for two seconds at least.
 */
const vanishedGraceMs = 1200;

/** Endpoints that are remembered beyond that, the oldest are forgotten first: more than are hidden by an outage of the store while runs are open there. */
const maxRetired = 1000;

/** Registered endpoints and their standing. */
export class EndpointDirectory {
	/** Lasting speeds, also of endpoints that are gone. */
	readonly classes = new PersistentSpeeds();
	/** Which of them load weights. */
	readonly loads: LoadWindows;
	readonly #states = new Map<string, EndpointStanding>();
	/** Those whose registrations have vanished for longer than they are asked. */
	readonly #retired = new Map<string, EndpointStanding>();
	readonly #random: Random;
	readonly #policy: Policy;
	readonly #eventLoopLag: Lateness;
	readonly #changeListeners = new Set<(service: string) => void>();
	/** By endpoint; called when it has started again. */
	readonly #restartListeners = new Map<string, Set<() => void>>();
	readonly #reportedPaces = new ReportedPaces(this.classes);
	#slotLimits: SlotLimits | undefined;
	#moveCount = 0;
	/** By service. */
	readonly #returnPlans = new Map<string, ReturnPlan>();

	/** @param lateness - of this process; what it reads late says nothing of the endpoints */
	constructor(random: Random, policy = defaultPolicy, eventLoopLag = new Lateness()) {
		this.#random = random;
		this.#policy = policy;
		this.#eventLoopLag = eventLoopLag;
		this.loads = new LoadWindows((id, model) => this.findVersion(id, model), policy.tellsLoads);
	}

	/** Takes over a registration. Of one that has started again nothing that was seen holds, and what a former start wrote late is ignored. */
	put(endpoint: RegisteredEndpoint): void {
		const known = this.#states.get(endpoint.id) ?? this.#retired.get(endpoint.id);
		const relation = known ? compareIncarnations(endpoint, known.endpoint) : 'new';
		if (relation === 'former') {
			return;
		}

		const state = known && relation === 'same' ? known : this.#create(endpoint, known);
		state.register(endpoint);
		this.classes.guess(state);
		for (const {model, version} of endpoint.models) {
			state.recordVersion(model, version);
			this.loads.end({endpoint: endpoint.id, model, version});
		}

		this.#states.set(endpoint.id, state);
		this.#retired.delete(endpoint.id);
		if (known && known !== state) {
			for (const listener of this.#restartListeners.get(endpoint.id) ?? []) {
				listener();
			}
		}

		this.#notify(state);
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
		const state = this.#states.get(id);
		if (state) {
			state.vanishedAt ??= performance.now();
		}
	}

	/** The registration of an endpoint, as last known. */
	get(id: string): RegisteredEndpoint | undefined {
		return this.#states.get(id)?.endpoint;
	}

	/** Registered endpoints of a service, also those that are leaving. */
	list(service?: string): RegisteredEndpoint[] {
		this.#retireVanished();
		return [...this.#states.values()]
			.filter(({endpoint, vanishedAt}) => vanishedAt === undefined && (service === undefined || endpoint.service === service))
			.map(({endpoint}) => endpoint);
	}

	/** All endpoints with what this process has seen of them, for operators. */
	listStandings(): readonly EndpointStanding[] {
		return [...this.#states.values()].filter(({vanishedAt}) => vanishedAt === undefined);
	}

	/** Newest version of a model that an endpoint is known to hold; undefined if it does not hold it. */
	findVersion(id: string, model: string): number | undefined {
		return this.#states.get(id)?.findVersion(model);
	}

	/** Requests of this process that are open at an endpoint. */
	countOpen(id: string): number {
		return this.#states.get(id)?.open ?? 0;
	}

	/** Time after which a caller that a service has no room for should come back, in milliseconds. */
	planRetryAfterMs(service: string): number {
		const plan = this.#returnPlans.get(service) ?? new ReturnPlan();
		this.#returnPlans.set(service, plan);
		const serving = [...this.#states.values()].filter(({endpoint, vanishedAt}) => endpoint.service === service && vanishedAt === undefined && !endpoint.isDraining);
		return plan.plan(serving.map(state => state.toHeadroom()));
	}

	/** Calls back with the service whenever an endpoint may have become free or fit; returns how to end that. */
	onChange(listener: (service: string) => void): () => void {
		this.#changeListeners.add(listener);
		return () => {
			this.#changeListeners.delete(listener);
		};
	}

	/** Chooses an endpoint for an attempt and counts it as open there; undefined if none can be asked now. */
	acquire(requirement: EndpointRequirement): RegisteredEndpoint | undefined {
		this.#retireVanished();
		const eligible = this.#listEligible(requirement);
		const chosen = this.#choose(eligible.filter(({vanishedAt}) => vanishedAt === undefined), requirement) ?? this.#choose(eligible.filter(({vanishedAt}) => vanishedAt !== undefined), requirement);
		if (chosen) {
			this.#begin(chosen, requirement);
		} else {
			this.#slotLimits?.recordUnmet(requirement, overrides => this.#listEligible({...requirement, ...overrides}));
		}

		return chosen?.endpoint;
	}

	/** Shares slots with other hosts by rations from now on. */
	shareSlots(source: RationSource): SlotLimits {
		const slotLimits = new SlotLimits(source, id => this.#states.get(id));
		this.#slotLimits = slotLimits;
		source.onChange(() => {
			const services = new Set([...this.#states.values()].map(({endpoint: {service}}) => service));
			for (const service of services) {
				this.#notifyService(service);
			}
		});
		return slotLimits;
	}

	/** Ends what `take` has begun. */
	release(id: string): void {
		const state = this.#states.get(id) ?? this.#retired.get(id);
		if (state) {
			state.end();
			this.#slotLimits?.recordEnd(state);
			this.#notify(state);
		}
	}

	/**
	 * Learns from the beginning of an answer.
	 *
	 * @param model - what was asked for; an endpoint that has room, refuses it and does not hold its newest version loads it
	 */
	recordHead(id: string, head: ServingHead, model?: string): void {
		const state = this.#states.get(id);
		state?.recordHead(head);
		this.#slotLimits?.recordHead(state, head);
		this.loads.recordHead(id, head, model);
	}

	/** Notes that another server has the address, so this one is gone. */
	recordMisdirected(id: string): void {
		this.#states.delete(id);
	}

	/** Notes that nothing or nothing sound came back. */
	recordFailure(id: string): void {
		this.#states.get(id)?.recordFailure();
	}

	/** Notes that nothing has come from an endpoint for long though a run was open there. */
	recordSilence(id: string): void {
		this.#states.get(id)?.recordSilence();
	}

	/** When an answer or an event last came from an endpoint, on the monotonic clock. */
	findLastReceivedAt(id: string): number {
		return this.#states.get(id)?.lastReceivedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Learns how long a unit of work took, in milliseconds. */
	recordPace(id: string, unitMs: number): void {
		const state = this.#states.get(id);
		if (this.#eventLoopLag.isLate) {
			state?.recordReceived();
		} else {
			state?.recordPace(unitMs);
		}
	}

	/**
	 * Learns how long a unit of work took on average over a whole run so far, in milliseconds. A run can't have been faster than its endpoint, however it
	 * came, while single units that come together after a pause on the way seem to take no time.
	 */
	recordRunPace(id: string, unitMs: number): void {
		const state = this.#states.get(id);
		state?.recordRunPace(unitMs);
		if (state) {
			this.classes.record(state);
		}
	}

	/** The lasting speed of an endpoint as measured by any process, in milliseconds for a unit of work; undefined until known. */
	findClassMs(id: string): number | undefined {
		const state = this.#states.get(id);
		return this.#policy.plansTexts ? state?.speed.classMs : state?.bestMs;
	}

	/** Guesses lasting speeds by `classes`, once others have told some. */
	guessClasses(): void {
		for (const state of this.#states.values()) {
			this.classes.guess(state);
		}
	}

	/** Best paces of late that this process has measured, in milliseconds; of `most` endpoints at most, by turns. */
	listOwnPaces(maxCount: number): Record<string, number> {
		return this.#reportedPaces.list([...this.#states.values()], maxCount);
	}

	/** Learns what other processes have measured. */
	learnPaces(paces: Readonly<Record<string, number>>): void {
		this.#reportedPaces.record(paces, id => this.#states.get(id));
	}

	/** The best pace of late of an endpoint as measured by any process, in milliseconds. */
	findBestPaceMs(id: string): number | undefined {
		return this.#states.get(id)?.bestMs;
	}

	/**
	 * Chooses an endpoint at which a run of another had better go on, and counts the run as open there; undefined if there is none. It is taken before the run
	 * leaves, so that the run doesn't end up at another slow endpoint that is merely nearer.
	 *
	 * @param isLong - whether the run has made many events already, and since it was last moved
	 */
	acquireBetter(id: string, requirement: EndpointRequirement, isLong: boolean): RegisteredEndpoint | undefined {
		const current = this.#states.get(id);
		if (!this.#policy.movesRuns || !current || this.#eventLoopLag.isLate) {
			return undefined;
		}

		const others = this.#listEligible({...requirement, waiter: undefined}).filter(state => state !== current && state.vanishedAt === undefined);
		const better = listBetter(current.toCandidate(undefined), others.map(state => state.toCandidate(requirement.warmKey, requirement.dedicated)), isLong);
		const chosen = chooseDirect(better, this.#random.next());
		const state = chosen && this.#states.get(chosen.id);
		if (state) {
			this.#begin(state, requirement);
		}

		return state?.endpoint;
	}

	/**
	 * Chooses an endpoint at which a text had better go on that its own would finish too late, and counts it as open there; undefined if it stays.
	 *
	 * @param madeHere - events that it has made at its present endpoint
	 */
	acquireFaster(id: string, requirement: EndpointRequirement & {units: number}, madeHere: number): RegisteredEndpoint | undefined {
		const current = this.#states.get(id);
		if (!this.#policy.movesRuns || !current || this.#eventLoopLag.isLate) {
			return undefined;
		}

		const {units: unitsLeft, dueInMs, warmKey, dedicated} = requirement;
		const state = chooseMove({
			text: {madeHere, unitsLeft, dueInMs},
			current,
			listEligible: () => this.#listEligible({...requirement, waiter: undefined}).filter(({vanishedAt}) => vanishedAt === undefined),
			warmKey,
			dedicated,
			chance: this.#random.next(),
		});
		if (state) {
			this.#moveCount += 1;
			this.#begin(state, requirement);
		}

		return state?.endpoint;
	}

	/** Texts that have left an endpoint for a faster one since the start. */
	get counts(): {movedTexts: number} {
		return {movedTexts: this.#moveCount};
	}

	/** Learns which version of a model an endpoint serves. */
	recordVersion(id: string, model: string, version: number): void {
		const state = this.#states.get(id);
		const isNew = state?.recordVersion(model, version) ?? false;
		if ((this.loads.end({endpoint: id, model, version}) || isNew) && state) {
			this.#notify(state);
		}
	}

	/** Leaves an endpoint alone for a time, such as while it loads weights. */
	pause(id: string, pauseMs: number): void {
		this.#states.get(id)?.pause(pauseMs);
	}

	/** Endpoints that can be asked now. */
	#listEligible(requirement: EndpointRequirement): EndpointStanding[] {
		const slowPaceMs = requirement.avoidsSlow ? this.#findSlowPace(requirement.service) : undefined;
		const model = requirement.oldestVersion?.model ?? requirement.exactVersion?.model;
		const allows = (state: EndpointStanding) => requirement.waiter === undefined || this.#slotLimits === undefined || this.#slotLimits.allows(state);
		const eligible = [...this.#states.values()].filter(state => state.isAvailable && isEligible(state, requirement) && !state.isSlower(slowPaceMs)
			&& (model === undefined || !this.loads.isLoading(state.endpoint.id, model)) && allows(state));
		const {dedicated} = requirement;
		if (!dedicated) {
			return eligible;
		}

		const isProbing = [...this.#states.values()].some(({endpoint, awaitsHead}) => !dedicated.has(endpoint.id) && endpoint.service === requirement.service && awaitsHead);
		return eligible.filter(state => dedicated.has(state.endpoint.id) || (state.isLoadKnown ? hasSharedHeadroom(state) : state.open === 0 && !isProbing));
	}

	#findSlowPace(service: string): number | undefined {
		const serving = [...this.#states.values()].filter(({endpoint, vanishedAt}) => endpoint.service === service && vanishedAt === undefined && !endpoint.isDraining);
		return findSlowPace(serving.map(({persistentMs: lastingMs}) => lastingMs));
	}

	#choose(states: readonly EndpointStanding[], requirement: EndpointRequirement): EndpointStanding | undefined {
		const {units, dueInMs} = requirement;
		const text = units === undefined || !this.#policy.plansTexts ? undefined : {units, dueInMs};
		const chosen = chooseDirect(states.map(state => state.toCandidate(requirement.warmKey, requirement.dedicated)), this.#random.next(), text);
		return chosen && this.#states.get(chosen.id);
	}

	#begin(state: EndpointStanding, {warmKey, waiter}: EndpointRequirement): void {
		state.begin(warmKey);
		this.#slotLimits?.recordBegun(state, waiter);
	}

	#create(endpoint: RegisteredEndpoint, previous: EndpointStanding | undefined): EndpointStanding {
		this.loads.forget(endpoint.id);
		return new EndpointStanding(endpoint, this.#policy, previous?.countOpenAttempts());
	}

	#retireVanished(): void {
		const now = performance.now();
		for (const [id, state] of this.#states) {
			const {vanishedAt} = state;
			if (vanishedAt !== undefined && now - vanishedAt > vanishedGraceMs) {
				this.#states.delete(id);
				this.#retire(id, state);
				this.loads.forget(id);
			}
		}
	}

	/** Keeps what is known of an endpoint that is not asked any more: its registration may come back, and its open attempts end one day. */
	#retire(id: string, state: EndpointStanding): void {
		this.#retired.set(id, state);
		dropOldest(this.#retired, maxRetired);
	}

	#notify({endpoint: {service}}: EndpointStanding): void {
		this.#notifyService(service);
	}

	#notifyService(service: string): void {
		for (const listener of this.#changeListeners) {
			listener(service);
		}
	}
}
