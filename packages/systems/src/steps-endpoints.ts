/**
 * Provides steps with the state of the endpoints that this process knows.
 */
import type {IdleEndpoint} from '@wasabiusher/decisions';
import type {EndpointRow, EndpointTable} from './dispatcher-endpoints.js';

export type StepEndpoints = {
	/** Versions of a model that endpoints report; empty if none reports one. */
	listVersions(model: string): number[];
	/** Endpoints with a model that have free slots, with their speed in cost units per millisecond. */
	listIdle(model: string): IdleEndpoint[];
};

/** Reads the endpoints from the dispatcher's table. */
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

/** Returns nothing for an endpoint without a measured speed, since the speed of a second attempt there is unknown. */
function describeIdle({id, status, msPerCost}: EndpointRow): IdleEndpoint[] {
	const slots = status!.limit - status!.running - status!.waiting;
	return msPerCost === undefined || slots <= 0 ? [] : [{id, slots, speed: 1 / msPerCost}];
}
