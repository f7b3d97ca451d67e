/**
 * The requirements of an attempt on its endpoint, and the check whether an endpoint meets them.
 */
import type {EndpointState} from './endpoint-state.js';
import type {SlotWaiter} from './slot-limits.js';

/** Requirements of an attempt on its endpoint. */
export type EndpointRequirement = {
	service: string;
	/** Endpoints that must not be chosen. */
	excluded?: ReadonlySet<string>;
	/** Oldest version of a model that may serve the attempt. */
	oldestVersion?: {model: string; version: number};
	/** The only version of a model that may serve the attempt. */
	exactVersion?: {model: string; version: number};
	/** Key of a prompt that requests share; endpoints that have processed it are preferred. */
	warmKey?: string;
	/** Maximum number of open requests of this process at one endpoint, as a multiple of its slots; undefined for no limit. */
	openLimit?: number;
	/** Whether to skip endpoints whose slots are all taken by their known load. */
	avoidsFull?: boolean;
	/** Whether to skip endpoints that probably have no headroom now, by their load and its age. */
	needsHeadroom?: boolean;
	/** Whether to skip endpoints that are much slower than is typical for their service. */
	avoidsSlow?: boolean;
	/**
	 * Endpoints dedicated to the requester: no other share fills them with work of this kind. Other endpoints are used only while they are known to have
	 * headroom; if their load is unknown, one attempt at a time probes them. Undefined if all endpoints are equal.
	 */
	dedicated?: ReadonlySet<string>;
	/** Expected units of work, such as the events of a generation; undefined if unknown. */
	units?: number;
	/** Time until the work is due, in milliseconds; undefined if nothing waits for it. */
	dueInMs?: number;
	/** Identifies the waiter where hosts share slots; work that can't wait has none and is sent at once. */
	waiter?: SlotWaiter;
};

/** Whether an endpoint that other processes fill too has headroom. Only half of its free slots count, since several processes see the same ones. */
export function hasSharedHeadroom({endpoint, open, others}: EndpointState): boolean {
	return open < Math.max(1, Math.floor((endpoint.slots - others) / 2)) && open + others < endpoint.slots;
}

/** Whether an endpoint meets the requirements, as far as this process knows. Pauses and weight loads are checked by the caller of this function. */
export function isEligible(state: EndpointState, {service, excluded, oldestVersion, exactVersion, openLimit, avoidsFull, needsHeadroom}: EndpointRequirement): boolean {
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
