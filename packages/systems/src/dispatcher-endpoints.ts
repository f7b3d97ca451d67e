/**
 * Table of the endpoints that an entry knows, with the state that dispatch needs.
 */
import {LoadEstimator} from '@wasabiusher/decisions';
import type {EndpointStatus} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import type {Call} from './call.js';

/** State of one endpoint. */
export type EndpointRow = {
	/** Name of its agent. */
	id: string;
	dataCentre: string;
	isUp: boolean;
	/** Gets no new work from this entry, because the endpoint list marks it as leaving or no longer contains it. */
	isRetiring: boolean;
	/** When this entry learned that the endpoint is leaving, on the monotonic clock in milliseconds. */
	leavingSince?: number;
	status?: EndpointStatus;
	/** Number of open attempts of this entry. */
	open: number;
	/** Number of cancelled attempts of this entry whose stop is not confirmed yet. */
	draining: number;
	/** Estimated number of requests at the endpoint, from its reports and the requests that this entry has sent since. */
	load: LoadEstimator;
	/** Time per unit of work, in milliseconds; undefined until measured. */
	msPerCost?: number;
};

/** Assumed age of a report on arrival, in milliseconds: network delay between data centres plus processing time. */
const reportLagMs = 5;

/** Weight of a new sample in the moving average of an endpoint's pace. */
const paceSmoothing = 0.2;

/** Endpoints by the name of their agent. */
export class EndpointTable extends Table<EndpointRow> {
	/** Records that the link to an endpoint has come up. Adds the endpoint if it is new. */
	attach(id: string, dataCentre: string): EndpointRow {
		const row = this.get(id) ?? this.put({
			id, dataCentre, isUp: true, isRetiring: false, open: 0, draining: 0, load: new LoadEstimator(),
		});
		row.dataCentre = dataCentre;
		row.isUp = true;
		return row;
	}

	/** Updates an endpoint with its status report. Returns undefined if the endpoint is unknown. */
	update(id: string, status: EndpointStatus, now: number): EndpointRow | undefined {
		const row = this.get(id);
		if (row) {
			row.status = status;
			row.leavingSince = status.isLeaving ? row.leavingSince ?? now : undefined;
			row.load.receive({load: status.running + status.waiting, measuredAt: now - reportLagMs});
		}

		return row;
	}

	/** Marks an endpoint that has refused work because it is leaving, ahead of its next status report. */
	markLeaving(id: string, now: number): void {
		const row = this.get(id);
		if (row?.status) {
			row.status = {...row.status, isLeaving: true};
			row.leavingSince ??= now;
		}
	}

	/** Returns the time since an endpoint was known to be leaving, in milliseconds; undefined if it is not leaving. */
	findLeavingMs(id: string, now: number): number | undefined {
		const since = this.get(id)?.leavingSince;
		return since === undefined ? undefined : now - since;
	}

	/** Returns the endpoints that accept new work for a service. */
	listServing(service: string): EndpointRow[] {
		return this.filter(({isUp, isRetiring, status}) => isUp && !isRetiring && status?.service === service && status.isHealthy && !status.isLeaving);
	}

	/** Returns the endpoints that can serve a call. */
	listEligible({service, model}: Pick<Call, 'service' | 'model'>): EndpointRow[] {
		const serving = this.listServing(service);
		return model === undefined ? serving : serving.filter(({status}) => status!.models.some(loaded => loaded.model === model));
	}

	/**
	 * Returns the number of requests that the endpoints of a service can run concurrently, less the draining ones; at least 1.
	 *
	 * @param isUsed - returns false for endpoints that must not be counted, such as ejected ones
	 */
	countSlots(service: string, isUsed: (endpoint: string) => boolean = () => true): number {
		const free = this.listServing(service)
			.filter(({id}) => isUsed(id))
			.map(({status, draining}) => Math.max(0, status!.limit - draining));
		return Math.max(1, free.reduce((sum, slots) => sum + slots, 0));
	}

	/** Returns the utilization of a service's capacity: 0 when idle, above 1 when requests are queued at the endpoints. */
	measureUtilization(service: string): number {
		const serving = this.listServing(service);
		const load = serving.reduce((sum, row) => sum + row.load.load, 0);
		return load / Math.max(1, serving.reduce((sum, {status}) => sum + status!.limit, 0));
	}
}

/**
 * Updates an endpoint's pace with a finished request.
 *
 * @param runMs - run time of the request, in milliseconds
 */
export function recordPace(row: EndpointRow, cost: number, runMs: number): void {
	const measured = runMs / cost;
	row.msPerCost = row.msPerCost === undefined ? measured : row.msPerCost + (paceSmoothing * (measured - row.msPerCost));
}
