/**
 * What steps need to know of the endpoints in view.
 */
import type {IdleEndpoint} from '@wasabiusher/decisions';
import type {EndpointRow, EndpointTable} from './dispatcher-endpoints.js';

export type StepEndpoints = {
	/** Versions of a model that endpoints report; empty if none does. */
	listVersions(model: string): number[];
	/** Endpoints with a model that have slots free, and how fast they are. */
	listIdle(model: string): IdleEndpoint[];
};

/** Reads them from the dispatcher's table. */
export function createStepEndpoints(table: EndpointTable): StepEndpoints {
	return {
		listVersions: model => listHolders(table, model).map(({version}) => version),
		listIdle: model => listHolders(table, model).flatMap(({row}) => describeIdle(row)),
	};
}

function listHolders(table: EndpointTable, model: string): Array<{row: EndpointRow; version: number}> {
	return [...table]
		.filter(({isUp, isRetiring, status}) => isUp && !isRetiring && status?.isHealthy && !status.isLeaving)
		.flatMap(row => row.status!.models.filter(held => held.model === model).map(({version}) => ({row, version})));
}

/** One that has not been measured yet says nothing of how fast a copy would be. */
function describeIdle({id, status, msPerCost}: EndpointRow): IdleEndpoint[] {
	const slots = status!.limit - status!.running - status!.waiting;
	return msPerCost === undefined || slots <= 0 ? [] : [{id, slots, speed: 1 / msPerCost}];
}
