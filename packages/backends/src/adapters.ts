/**
 * Adapters by name. To support another wire format, add an entry to these tables.
 */
import type {Engine, PlainService} from './endpoint.js';
import {HttpEngine} from './http-engine.js';
import {HttpMembershipList, HttpWeightStore} from './http-membership.js';
import {HttpPlainService} from './http-plain-service.js';
import {HttpObjectStore, HttpTableService} from './http-storage.js';
import type {MembershipList, WeightStore} from './membership.js';
import type {ObjectStore, TableService} from './storage.js';

/** Clients of the platform's services. */
export type Platform = {
	tables: TableService;
	objects: ObjectStore;
	members: MembershipList;
	weights: WeightStore;
};

export const platformAdapters = {
	http: (origin: string): Platform => ({
		tables: new HttpTableService(origin),
		objects: new HttpObjectStore(origin),
		members: new HttpMembershipList(origin),
		weights: new HttpWeightStore(origin),
	}),
} as const;

export const engineAdapters = {
	http: (origin: string): Engine => new HttpEngine(origin),
} as const;

export const plainServiceAdapters = {
	http: (origin: string): PlainService => new HttpPlainService(origin),
} as const;
