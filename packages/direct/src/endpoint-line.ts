/**
 * The line of this process for slots of endpoints, as its directory knows them.
 */
import {Pace} from '@wasabiusher/decisions';
import {HostLine, ReturnTurns} from '@wasabiusher/slots';
import type {RegisteredEndpoint} from '@wasabiusher/shared';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointNeed} from './endpoint-need.js';

/** What a waiter needs; one endpoint may be asked only if no other fits. */
export type LineNeed = EndpointNeed & {avoided?: string};

/**
 * Calls, texts and scores wait here. A call that will have a slot sooner than it is done waits for an endpoint that isn't slow; one that would wait
 * longer takes any, so that a large customer's calls fill the slow ones.
 */
export class EndpointLine extends HostLine<LineNeed, RegisteredEndpoint> {
	/** Calls that were refused here. */
	readonly returns = new ReturnTurns();
	/** Time of a call, by service. */
	readonly #paces = new Map<string, Pace>();

	constructor(directory: EndpointDirectory) {
		super({
			namePool: ({service}) => service,
			nameLane,
			adapt: ({need, workMs}, waitMs) => need.needsRoom ? {...need, avoidsSlow: waitMs < workMs} : need,
			take: ({avoided, ...need}) => (avoided === undefined ? undefined : directory.take({...need, excluded: new Set([avoided])})) ?? directory.take(need),
			planReturn: ({service}) => directory.planReturn(service),
			onChange: listener => directory.onChange(listener),
		});
	}

	/** Learns how long a call to a service took, in milliseconds. */
	recordWork(service: string, workMs: number): void {
		const pace = this.#paces.get(service) ?? new Pace();
		this.#paces.set(service, pace);
		pace.record(workMs);
	}

	/** Usual time of a call to a service, in milliseconds; 0 if nobody knows. */
	findWorkMs(service: string): number {
		return this.#paces.get(service)?.unitMs ?? 0;
	}
}

/** Sets of homes by a number, since each is one object while it holds. */
const homeNumbers = new WeakMap<ReadonlySet<string>, number>();
let lastNumber = 0;

function nameHomes(homes: ReadonlySet<string> | undefined): string {
	if (!homes) {
		return '';
	}

	const known = homeNumbers.get(homes);
	if (known !== undefined) {
		return String(known);
	}

	lastNumber += 1;
	homeNumbers.set(homes, lastNumber);
	return String(lastNumber);
}

function nameLane({service, least, exact, openLimit, avoidsFull, needsRoom, avoidsSlow, homes}: LineNeed): string {
	const versions = [least, exact].map(bound => bound ? `${bound.model} ${bound.version}` : '');
	return [service, ...versions, openLimit, avoidsFull, needsRoom, avoidsSlow, nameHomes(homes)].join('|');
}
