/**
 * The line of this process for slots of endpoints, as its directory knows them.
 */
import {Pace} from '@wasabiusher/decisions';
import {HostLine, ReturnTurns} from '@wasabiusher/slots';
import type {RegisteredEndpoint} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointRequirement} from './endpoint-requirement.js';

/** What a waiter needs; one endpoint may be asked only if no other fits. */
export type QueueRequirement = EndpointRequirement & {avoided?: string};

/**
 * Calls, texts and scores wait here. A call that will have a slot sooner than it is done waits for an endpoint that isn't slow; one that would wait
 * longer takes any, so that a large customer's calls fill the slow ones.
 */
export class EndpointLine extends HostLine<QueueRequirement, RegisteredEndpoint> {
	/** Calls that were refused here. */
	readonly returns = new ReturnTurns();
	/** Time of a call, by service. */
	readonly #workPaces = new Map<string, Pace>();

	constructor(directory: EndpointDirectory) {
		super({
			namePool: ({service}) => service,
			nameLane: nameEligibilityClass,
			adapt: ({need, workMs}, waitMs) => need.needsHeadroom ? {...need, avoidsSlow: waitMs < workMs} : need,
			take: ({avoided, ...need}) => (avoided === undefined ? undefined : directory.acquire({...need, excluded: new Set([avoided])})) ?? directory.acquire(need),
			planReturn: ({service}) => directory.planRetryAfterMs(service),
			onChange: listener => directory.onChange(listener),
		});
	}

	/** Learns how long a call to a service took, in milliseconds. */
	recordWork(service: string, workMs: number): void {
		const pace = this.#workPaces.get(service) ?? new Pace();
		this.#workPaces.set(service, pace);
		pace.record(workMs);
	}

	/** Usual time of a call to a service, in milliseconds; 0 if nobody knows. */
	findWorkMs(service: string): number {
		return this.#workPaces.get(service)?.unitMs ?? 0;
	}
}

/** Sets of homes by a number, since each is one object while it holds. */
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
