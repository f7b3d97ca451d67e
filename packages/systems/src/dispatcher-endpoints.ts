/**
 * The endpoints that an entry has in view, as dispatch sees them.
 */
import {LaggingLoad} from '@wasabiusher/decisions';
import type {EndpointStatus} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import type {Call} from './call.js';

/** One endpoint. */
export type EndpointRow = {
	/** Name of its agent. */
	id: string;
	dataCentre: string;
	isUp: boolean;
	/** Gets no new work of this entry: the list says that it leaves, or it is no longer in view. */
	isRetiring: boolean;
	/** Since when it is known to leave, on the monotonic clock in milliseconds. */
	leavingSince?: number;
	status?: EndpointStatus;
	/** Attempts that this entry has open there. */
	open: number;
	/** Cancelled attempts of this entry there whose stop is not confirmed yet. */
	draining: number;
	/** Requests there, by its reports and by what this entry has sent since. */
	load: LaggingLoad;
	/** Time that a unit of work takes there, in milliseconds; undefined until measured. */
	msPerCost?: number;
};

/** Age of a report when it arrives, in milliseconds: the way between data centres and what the processes add. */
const reportLagMs = 5;

/** Weight of a new measurement of an endpoint's pace. */
const smoothing = 0.2;

/** The endpoints by agent's name. */
export class EndpointTable extends Table<EndpointRow> {
	/** Notes a link that has come up, to an endpoint known before or not. */
	attach(id: string, dataCentre: string): EndpointRow {
		const row = this.get(id) ?? this.put({
			id, dataCentre, isUp: true, isRetiring: false, open: 0, draining: 0, load: new LaggingLoad(),
		});
		row.dataCentre = dataCentre;
		row.isUp = true;
		return row;
	}

	update(id: string, status: EndpointStatus, now: number): EndpointRow | undefined {
		const row = this.get(id);
		if (row) {
			row.status = status;
			row.leavingSince = status.isLeaving ? row.leavingSince ?? now : undefined;
			row.load.receive({load: status.running + status.waiting, measuredAt: now - reportLagMs});
		}

		return row;
	}

	/** It has refused work as leaving; its next status says the same, but later. */
	markLeaving(id: string, now: number): void {
		const row = this.get(id);
		if (row?.status) {
			row.status = {...row.status, isLeaving: true};
			row.leavingSince ??= now;
		}
	}

	/** For how long it has been known to leave, in milliseconds; undefined if it stays. */
	findLeavingMs(id: string, now: number): number | undefined {
		const since = this.get(id)?.leavingSince;
		return since === undefined ? undefined : now - since;
	}

	/** Those that take new work of a service. */
	listServing(service: string): EndpointRow[] {
		return this.filter(({isUp, isRetiring, status}) => isUp && !isRetiring && status?.service === service && status.isHealthy && !status.isLeaving);
	}

	/** Those that can take a call. */
	listFor({service, model}: Pick<Call, 'service' | 'model'>): EndpointRow[] {
		const serving = this.listServing(service);
		return model === undefined ? serving : serving.filter(({status}) => status!.models.some(held => held.model === model));
	}

	/**
	 * Requests that the endpoints of a service run at once, less what is still draining there; at least 1.
	 *
	 * @param isUsed - leaves out endpoints that get no calls for another reason
	 */
	countSlots(service: string, isUsed: (endpoint: string) => boolean = () => true): number {
		const free = this.listServing(service)
			.filter(({id}) => isUsed(id))
			.map(({status, draining}) => Math.max(0, status!.limit - draining));
		return Math.max(1, free.reduce((sum, slots) => sum + slots, 0));
	}

	/** Used part of a service's capacity, from 0. */
	measureUse(service: string): number {
		const serving = this.listServing(service);
		const load = serving.reduce((sum, row) => sum + row.load.load, 0);
		return load / Math.max(1, serving.reduce((sum, {status}) => sum + status!.limit, 0));
	}
}

/** Learns from work that was finished in this time. */
export function recordPace(row: EndpointRow, cost: number, runMs: number): void {
	const measured = runMs / cost;
	row.msPerCost = row.msPerCost === undefined ? measured : row.msPerCost + (smoothing * (measured - row.msPerCost));
}
