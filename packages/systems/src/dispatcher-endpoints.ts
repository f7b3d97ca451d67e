/**
 * The endpoints that an entry has in view, as dispatch sees them.
 */
import type {EndpointStatus} from '@wasabiusher/link';
import {Table} from '@wasabiusher/shared';
import type {Call} from './call.js';

/** One endpoint. */
export type EndpointRow = {
	/** Name of its agent. */
	id: string;
	dataCentre: string;
	isUp: boolean;
	status?: EndpointStatus;
	/** Attempts that this entry has open there. */
	open: number;
	/** Cancelled attempts of this entry there whose stop is not confirmed yet. */
	draining: number;
};

/** The endpoints by agent's name. */
export class EndpointTable extends Table<EndpointRow> {
	/** Notes a link that has come up, to an endpoint known before or not. */
	attach(id: string, dataCentre: string): EndpointRow {
		const row = this.get(id) ?? this.put({
			id, dataCentre, isUp: true, open: 0, draining: 0,
		});
		row.dataCentre = dataCentre;
		row.isUp = true;
		return row;
	}

	update(id: string, status: EndpointStatus): void {
		const row = this.get(id);
		if (row) {
			row.status = status;
		}
	}

	/** It has refused work as leaving; its next status says the same, but later. */
	markLeaving(id: string): void {
		const row = this.get(id);
		if (row?.status) {
			row.status = {...row.status, isLeaving: true};
		}
	}

	/** Those that take new work of a service. */
	listServing(service: string): EndpointRow[] {
		return this.filter(({isUp, status}) => isUp && status?.service === service && status.isHealthy && !status.isLeaving);
	}

	/** Those that can take a call. */
	listFor({service, model}: Pick<Call, 'service' | 'model'>): EndpointRow[] {
		const serving = this.listServing(service);
		return model === undefined ? serving : serving.filter(({status}) => status!.models.some(held => held.model === model));
	}

	/** Requests that the endpoints of a service run at once, less what is still draining there; at least 1. */
	countSlots(service: string): number {
		const free = this.listServing(service).map(({status, draining}) => Math.max(0, status!.limit - draining));
		return Math.max(1, free.reduce((sum, slots) => sum + slots, 0));
	}
}

/** Requests at an endpoint: what it reported, which lags, or what this entry knows to be there. */
export function estimateLoad({open, draining, status}: EndpointRow): number {
	return Math.max(open + draining, status ? status.running + status.waiting : 0);
}
