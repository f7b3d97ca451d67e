/**
 * Holds the registered endpoints with their state as this process knows it, and chooses endpoints for attempts.
 */
import {
	chooseDirect, defaultPolicy, findSlowPaceMs, EventLoopLag, listFasterEndpoints, RetryAfterPlan, type Policy,
} from '@wasabiusher/decisions';
import type {ServingHead} from '@wasabiusher/backends';
import {dropOldest, type Random, type RegisteredEndpoint} from '@wasabiusher/shared';
import type {AllocationSource} from '@wasabiusher/slots';
import {PersistentSpeeds} from './persistent-speeds.js';
import {chooseMove} from './endpoint-moves.js';
import {hasSharedHeadroom, isEligible, type EndpointRequirement} from './endpoint-requirement.js';
import {EndpointState} from './endpoint-state.js';
import {LoadWindows} from './load-windows.js';
import {compareIncarnations} from './restart-watch.js';
import {SlotLimits} from './slot-limits.js';
import {ReportedPaces} from './reported-paces.js';

/**
 * Time for which an endpoint whose registration has vanished is still used if no other is eligible, in milliseconds.
 * Registrations also vanish after an outage of the store and return within about two seconds; endpoints that
 * leave keep serving for at least two seconds.
 */
const vanishedGraceMs = 1200;

/** Maximum number of retired endpoints whose state is kept; the oldest are evicted first. More than an outage of the store hides while they have open runs. */
const maxRetired = 1000;

/** Number of endpoints of a service by what an attempt would find there. */
export type EndpointRoom = {
	/** Registered and not draining; all other counts but `draining` are a part of these. */
	serving: number;
	draining: number;
	/** With the required version. */
	holding: number;
	/** Avoided after a failure, a refusal or a silence. */
	backedOff: number;
	loading: number;
	/** With all slots taken that this host may fill. */
	limited: number;
	/** Dedicated to the requester; undefined if all are equal. */
	dedicated: number | undefined;
	/** With the required version and a free slot. */
	withRoom: number;
};

/** Registered endpoints and their state. */
export class EndpointDirectory {
	/** Persistent speeds, also of endpoints that are gone. */
	readonly persistentSpeeds = new PersistentSpeeds();
	/** Weight loads in progress. */
	readonly loads: LoadWindows;
	readonly #states = new Map<string, EndpointState>();
	/** State of endpoints that are no longer used because their registration has vanished. */
	readonly #retired = new Map<string, EndpointState>();
	readonly #random: Random;
	readonly #policy: Policy;
	readonly #eventLoopLag: EventLoopLag;
	readonly #changeListeners = new Set<(service: string) => void>();
	/** Listeners by endpoint, called when the endpoint has restarted. */
	readonly #restartListeners = new Map<string, Set<() => void>>();
	readonly #reportedPaces = new ReportedPaces(this.persistentSpeeds);
	#slotLimits: SlotLimits | undefined;
	#moveCount = 0;
	/** Retry-after plans by service. */
	readonly #retryAfterPlans = new Map<string, RetryAfterPlan>();

	/** @param eventLoopLag - lag of this process; events that it reads late don't show the pace of the endpoints */
	constructor(random: Random, policy = defaultPolicy, eventLoopLag = new EventLoopLag()) {
		this.#random = random;
		this.#policy = policy;
		this.#eventLoopLag = eventLoopLag;
		this.loads = new LoadWindows((id, model) => this.findVersion(id, model), policy.tellsLoads);
	}

	/** Applies a registration. A new incarnation starts with fresh state; a late registration of a previous incarnation is ignored. */
	put(endpoint: RegisteredEndpoint): void {
		const known = this.#states.get(endpoint.id) ?? this.#retired.get(endpoint.id);
		const relation = known ? compareIncarnations(endpoint, known.endpoint) : 'new';
		if (relation === 'former') {
			return;
		}

		const state = known && relation === 'same' ? known : this.#create(endpoint, known);
		state.register(endpoint);
		this.persistentSpeeds.guess(state);
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

	/** Calls the listener when an endpoint has restarted under its id; returns a function that unsubscribes it. */
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

	/** Records that a registration has vanished; the endpoint stays a last resort for a short time. */
	remove(id: string): void {
		const state = this.#states.get(id);
		if (state) {
			state.vanishedAt ??= performance.now();
		}
	}

	/** Last known registration of an endpoint. */
	get(id: string): RegisteredEndpoint | undefined {
		return this.#states.get(id)?.endpoint;
	}

	/** Registered endpoints of a service, or of all services, including draining ones. */
	list(service?: string): RegisteredEndpoint[] {
		this.#retireVanished();
		return [...this.#states.values()]
			.filter(({endpoint, vanishedAt}) => vanishedAt === undefined && (service === undefined || endpoint.service === service))
			.map(({endpoint}) => endpoint);
	}

	/** State of all registered endpoints. */
	listStates(): readonly EndpointState[] {
		return [...this.#states.values()].filter(({vanishedAt}) => vanishedAt === undefined);
	}

	/** Newest version of a model that an endpoint is known to hold; undefined if none is known. */
	findVersion(id: string, model: string): number | undefined {
		return this.#states.get(id)?.findVersion(model);
	}

	/** Requests of this process that are open at an endpoint. */
	countOpen(id: string): number {
		return this.#states.get(id)?.open ?? 0;
	}

	/** Time after which a caller that was refused for lack of headroom should retry, in milliseconds. */
	planRetryAfterMs(service: string): number {
		const plan = this.#retryAfterPlans.get(service) ?? new RetryAfterPlan();
		this.#retryAfterPlans.set(service, plan);
		const serving = [...this.#states.values()].filter(({endpoint, vanishedAt}) => endpoint.service === service && vanishedAt === undefined && !endpoint.isDraining);
		return plan.plan(serving.map(state => state.toHeadroom()));
	}

	/** Counts the endpoints that could serve a requirement, by what keeps them from it; an endpoint may count several times. */
	describeRoom({service, oldestVersion, exactVersion, dedicated}: EndpointRequirement): EndpointRoom {
		const states = this.listStates().filter(({endpoint}) => endpoint.service === service);
		const model = oldestVersion?.model ?? exactVersion?.model;
		const serving = states.filter(({endpoint}) => !endpoint.isDraining);
		const holds = (state: EndpointState) => (!oldestVersion || (state.findVersion(oldestVersion.model) ?? 0) >= oldestVersion.version)
			&& (!exactVersion || state.findVersion(exactVersion.model) === exactVersion.version);
		return {
			serving: serving.length,
			draining: states.length - serving.length,
			holding: serving.filter(state => holds(state)).length,
			backedOff: serving.filter(({isAvailable}) => !isAvailable).length,
			loading: serving.filter(({endpoint}) => model !== undefined && this.loads.isLoading(endpoint.id, model)).length,
			limited: serving.filter(state => this.#slotLimits?.allows(state) === false).length,
			dedicated: dedicated?.size,
			withRoom: serving.filter(state => holds(state) && state.open + state.others < state.endpoint.slots).length,
		};
	}

	/** Calls the listener with the service whenever an endpoint may have become free or eligible; returns a function that unsubscribes it. */
	onChange(listener: (service: string) => void): () => void {
		this.#changeListeners.add(listener);
		return () => {
			this.#changeListeners.delete(listener);
		};
	}

	/** Chooses an endpoint for an attempt and counts the attempt as open; undefined if none is eligible now. The caller must `release` it. */
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

	/** Whether an endpoint meets the requirements and may be used now. */
	hasEligible(requirement: EndpointRequirement): boolean {
		return this.#listEligible(requirement).length > 0;
	}

	/** Limits attempts to the slots allocated to this host from now on. */
	shareSlots(source: AllocationSource): SlotLimits {
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

	/** Ends an attempt that `acquire`, `acquireBetter` or `acquireFaster` has counted as open. */
	release(id: string): void {
		const state = this.#states.get(id) ?? this.#retired.get(id);
		if (state) {
			state.end();
			this.#slotLimits?.recordEnd(state);
			this.#notify(state);
		}
	}

	/**
	 * Updates the state of an endpoint from the head of an answer.
	 *
	 * @param model - requested model; an endpoint that refuses it despite free slots, and lacks its newest version, counts as loading it
	 */
	recordHead(id: string, head: ServingHead, model?: string): void {
		const state = this.#states.get(id);
		state?.recordHead(head);
		this.#slotLimits?.recordHead(state, head);
		this.loads.recordHead(id, head, model);
	}

	/** Removes an endpoint whose address now belongs to another server. */
	recordMisdirected(id: string): void {
		this.#states.delete(id);
	}

	/** Records an attempt that got no valid answer. */
	recordFailure(id: string): void {
		this.#states.get(id)?.recordFailure();
	}

	/** Records that an open run at an endpoint got no event within its silence limit. */
	recordSilence(id: string): void {
		this.#states.get(id)?.recordSilence();
	}

	/** When an answer or an event last arrived from an endpoint, on the monotonic clock; negative infinity if never. */
	findLastReceivedAt(id: string): number {
		return this.#states.get(id)?.lastReceivedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Records the time of one unit of work, in milliseconds; ignored as a pace while this process lags. */
	recordPace(id: string, unitMs: number): void {
		const state = this.#states.get(id);
		if (this.#eventLoopLag.isLate) {
			state?.recordReceived();
		} else {
			state?.recordPace(unitMs);
		}
	}

	/**
	 * Records the mean time per unit of work over a run so far, in milliseconds. The mean of a run is never faster than its endpoint, while single units that
	 * arrive together after a network pause seem to take no time.
	 */
	recordRunPace(id: string, unitMs: number): void {
		const state = this.#states.get(id);
		state?.recordRunPace(unitMs);
		if (state) {
			this.persistentSpeeds.record(state);
		}
	}

	/** Persistent speed of an endpoint as measured by any process, in milliseconds per unit of work; undefined until known. */
	findPersistentMs(id: string): number | undefined {
		const state = this.#states.get(id);
		return this.#policy.plansTexts ? state?.speed.persistentMs : state?.bestMs;
	}

	/** Assumes the persistent speeds in `speeds` for endpoints that this process has not measured. */
	assumePersistentSpeeds(): void {
		for (const state of this.#states.values()) {
			this.persistentSpeeds.guess(state);
		}
	}

	/** Best recent paces that this process has measured, in milliseconds per unit, of at most `maxCount` endpoints in rotation. */
	listOwnPaces(maxCount: number): Record<string, number> {
		return this.#reportedPaces.list([...this.#states.values()], maxCount);
	}

	/** Records paces that another process has measured, in milliseconds per unit by endpoint. */
	recordReportedPaces(paces: Readonly<Record<string, number>>): void {
		this.#reportedPaces.record(paces, id => this.#states.get(id));
	}

	/** Best recent pace of an endpoint as measured by any process, in milliseconds per unit. */
	findBestPaceMs(id: string): number | undefined {
		return this.#states.get(id)?.bestMs;
	}

	/**
	 * Chooses a better endpoint for a run, and counts the run as open there; undefined if there is none. The endpoint is acquired before the run leaves its
	 * current one, so that the run doesn't end up at another slow endpoint that is merely nearer.
	 *
	 * @param isLong - whether the run has made many events since it began or was last moved
	 */
	acquireBetter(id: string, requirement: EndpointRequirement, isLong: boolean): RegisteredEndpoint | undefined {
		const current = this.#states.get(id);
		if (!this.#policy.movesRuns || !current || this.#eventLoopLag.isLate) {
			return undefined;
		}

		const candidates = this.#listEligible({...requirement, waiter: undefined}).filter(state => state !== current && state.vanishedAt === undefined);
		const better = listFasterEndpoints(current.toCandidate(undefined), candidates.map(state => state.toCandidate(requirement.warmKey, requirement.dedicated)), isLong);
		const chosen = chooseDirect(better, this.#random.next());
		const state = chosen && this.#states.get(chosen.id);
		if (state) {
			this.#begin(state, requirement);
		}

		return state?.endpoint;
	}

	/**
	 * Chooses a faster endpoint for a generation that its current one would finish too late, and counts it as open there; undefined if it stays.
	 *
	 * @param madeHere - events that the generation has made at its current endpoint
	 */
	acquireFaster(id: string, requirement: EndpointRequirement & {units: number}, madeHere: number): RegisteredEndpoint | undefined {
		const current = this.#states.get(id);
		if (!this.#policy.movesRuns || !current || this.#eventLoopLag.isLate) {
			return undefined;
		}

		const {units: unitsLeft, dueInMs, warmKey, dedicated} = requirement;
		const state = chooseMove({
			text: {unitsMadeHere: madeHere, unitsLeft, dueInMs},
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

	/** Number of generations moved to a faster endpoint since this process started. */
	get counts(): {movedTexts: number} {
		return {movedTexts: this.#moveCount};
	}

	/** Records which version of a model an endpoint serves. */
	recordVersion(id: string, model: string, version: number): void {
		const state = this.#states.get(id);
		const isNew = state?.recordVersion(model, version) ?? false;
		if ((this.loads.end({endpoint: id, model, version}) || isNew) && state) {
			this.#notify(state);
		}
	}

	/** Prevents attempts at an endpoint for a time in milliseconds, for example while it loads weights. */
	pause(id: string, pauseMs: number): void {
		this.#states.get(id)?.pause(pauseMs);
	}

	/** Endpoints that meet the requirements and may be used now. */
	#listEligible(requirement: EndpointRequirement): EndpointState[] {
		const slowPaceMs = requirement.avoidsSlow ? this.#findSlowPace(requirement.service) : undefined;
		const model = requirement.oldestVersion?.model ?? requirement.exactVersion?.model;
		const allows = (state: EndpointState) => requirement.waiter === undefined || this.#slotLimits === undefined || this.#slotLimits.allows(state);
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
		return findSlowPaceMs(serving.map(({persistentMs}) => persistentMs));
	}

	#choose(states: readonly EndpointState[], requirement: EndpointRequirement): EndpointState | undefined {
		const {units, dueInMs} = requirement;
		const text = units === undefined || !this.#policy.plansTexts ? undefined : {units, dueInMs};
		const chosen = chooseDirect(states.map(state => state.toCandidate(requirement.warmKey, requirement.dedicated)), this.#random.next(), text);
		return chosen && this.#states.get(chosen.id);
	}

	#begin(state: EndpointState, {warmKey, waiter}: EndpointRequirement): void {
		state.begin(warmKey);
		this.#slotLimits?.recordBegun(state, waiter);
	}

	#create(endpoint: RegisteredEndpoint, previous: EndpointState | undefined): EndpointState {
		this.loads.forget(endpoint.id);
		return new EndpointState(endpoint, this.#policy, previous?.countOpenAttempts());
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

	/** Keeps the state of an endpoint that is no longer used: its registration may return, and its open attempts still have to end. */
	#retire(id: string, state: EndpointState): void {
		this.#retired.set(id, state);
		dropOldest(this.#retired, maxRetired);
	}

	#notify({endpoint: {service}}: EndpointState): void {
		this.#notifyService(service);
	}

	#notifyService(service: string): void {
		for (const listener of this.#changeListeners) {
			listener(service);
		}
	}
}
