/**
 * The wait queue of this host for endpoint slots.
 */
import {Pace} from '@wasabiusher/decisions';
import {HostQueue, RecentRefusals} from '@wasabiusher/slots';
import type {RegisteredEndpoint} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointRequirement} from './endpoint-requirement.js';

/** Requirements of a waiter; the avoided endpoint is used only if no other is eligible. */
export type QueueRequirement = EndpointRequirement & {avoided?: string};

/**
 * Queues calls, generations and scores. A call whose expected wait is shorter than its service time waits for an endpoint that isn't slow; one that would
 * wait longer takes any endpoint, so that the calls of a large customer fill the slow endpoints.
 */
export class EndpointQueue extends HostQueue<QueueRequirement, RegisteredEndpoint> {
	/** Tracks refused calls, so that their retries are recognized. */
	readonly returns = new RecentRefusals();
	/** Service time of a call, by service. */
	readonly #workPaces = new Map<string, Pace>();

	constructor(directory: EndpointDirectory) {
		super({
			getPoolName: ({service}) => service,
			getEligibilityKey: nameEligibilityClass,
			adapt: ({need, workMs}, waitMs) => need.needsHeadroom ? {...need, avoidsSlow: waitMs < workMs} : need,
			take: ({avoided, ...need}) => (avoided === undefined ? undefined : directory.acquire({...need, excluded: new Set([avoided])})) ?? directory.acquire(need),
			getRetryDelayMs: ({service}) => directory.planRetryAfterMs(service),
			onChange: listener => directory.onChange(listener),
		});
	}

	/** Records the service time of a call to a service, in milliseconds. */
	recordWork(service: string, workMs: number): void {
		const pace = this.#workPaces.get(service) ?? new Pace();
		this.#workPaces.set(service, pace);
		pace.record(workMs);
	}

	/** Typical service time of a call to a service, in milliseconds; 0 if unknown. */
	findWorkMs(service: string): number {
		return this.#workPaces.get(service)?.unitMs ?? 0;
	}
}

/** Numbers for sets of dedicated endpoints. An unchanged set keeps its identity, so the object itself is the key. */
const dedicatedNumbers = new WeakMap<ReadonlySet<string>, number>();
let lastNumber = 0;

function nameDedicated(dedicated: ReadonlySet<string> | undefined): string {
	if (!dedicated) {
		return '';
	}

	const known = dedicatedNumbers.get(dedicated);
	if (known !== undefined) {
		return String(known);
	}

	lastNumber += 1;
	dedicatedNumbers.set(dedicated, lastNumber);
	return String(lastNumber);
}

function nameEligibilityClass({service, oldestVersion, exactVersion, openLimit, avoidsFull, needsHeadroom, avoidsSlow, dedicated}: QueueRequirement): string {
	const versions = [oldestVersion, exactVersion].map(bound => bound ? `${bound.model} ${bound.version}` : '');
	return [service, ...versions, openLimit, avoidsFull, needsHeadroom, avoidsSlow, nameDedicated(dedicated)].join('|');
}
