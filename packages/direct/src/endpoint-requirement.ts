/**
 * What an attempt needs of an endpoint, and whether one fits.
 */
import type {EndpointStanding} from './endpoint-state.js';
import type {SlotWaiter} from './slot-limits.js';

/** What an attempt needs of an endpoint. */
export type EndpointRequirement = {
	service: string;
	/** Endpoints that are left out. */
	excluded?: ReadonlySet<string>;
	/** Oldest version of a model that may serve it. */
	oldestVersion?: {model: string; version: number};
	/** Exactly this version of a model. */
	exactVersion?: {model: string; version: number};
	/** Names what requests share, to find an endpoint that has read it. */
	warmKey?: string;
	/** Most requests of this process at one endpoint, as a multiple of its slots; undefined for no limit. */
	openLimit?: number;
	/** Whether endpoints whose slots are all taken are left out, as far as their load is known. */
	avoidsFull?: boolean;
	/** Whether endpoints are left out that have probably no room now, by their load and its age. */
	needsHeadroom?: boolean;
	/** Whether endpoints are left out that are much slower than is typical of their service. */
	avoidsSlow?: boolean;
	/**
	 * Endpoints that nobody else fills with work of this kind. Others are asked only as far as they are known to have room, and by
	 * one attempt at a time to find that out; undefined if all are alike.
	 */
	dedicated?: ReadonlySet<string>;
	/** Units of work that it is expected to take, such as events of a text; undefined if nobody knows. */
	units?: number;
	/** Time until it should be done, in milliseconds; undefined if nobody waits for it. */
	dueInMs?: number;
	/** Who looks for a slot, where slots are shared among hosts; what can't wait has none and is sent at once. */
	waiter?: SlotWaiter;
};

/** Whether an endpoint that others fill has room as well: half of what they leave, since several see the same free slots. */
export function hasSharedHeadroom({endpoint, open, others}: EndpointStanding): boolean {
	return open < Math.max(1, Math.floor((endpoint.slots - others) / 2)) && open + others < endpoint.slots;
}

/** Whether an endpoint fits a need, as far as this process knows; pauses and loads apart. */
export function isEligible(state: EndpointStanding, {service, excluded, oldestVersion, exactVersion, openLimit, avoidsFull, needsHeadroom}: EndpointRequirement): boolean {
	const {endpoint, open, others} = state;
	return endpoint.service === service
		&& !endpoint.isDraining
		&& !excluded?.has(endpoint.id)
		&& (openLimit === undefined || open < openLimit * endpoint.slots)
		&& (!avoidsFull || open + others < endpoint.slots)
		&& (!needsHeadroom || state.hasExpectedHeadroom)
		&& (!oldestVersion || (state.findVersion(oldestVersion.model) ?? 0) >= oldestVersion.version)
		&& (!exactVersion || state.findVersion(exactVersion.model) === exactVersion.version);
}
