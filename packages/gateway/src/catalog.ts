/**
 * Configuration, endpoint registrations and published versions, as read from the store.
 *
 * Within the lifetime of the process, the configuration and the versions never go back to older ones, whatever the order of the changes.
 */
import type {RowChange} from '@wasabiusher/backends';
import type {EndpointIncarnation} from '@wasabiusher/decisions';
import {compareIncarnations, type EndpointDirectory, type WeightOrders} from '@wasabiusher/direct';
import {RowFaults} from '@wasabiusher/record';
import type {
	Deployment, Log, PublishedVersion, RegisteredEndpoint,
} from '@wasabiusher/shared';
import {CustomerKeys} from './customer-keys.js';

/** A row of the operators' table. */
export type OperatorRow
	= | {kind: 'deployment'; deployment: Deployment}
		| {kind: 'version'; published: PublishedVersion}
		| {kind: 'other'};

/** Tables and decoders of the rows; each decoder throws on a malformed row. */
export type CatalogFormat = {
	operatorTable: string;
	endpointTable: string;
	decodeOperatorRow(key: string, value: Uint8Array): OperatorRow;
	decodeEndpoint(key: string, value: Uint8Array): RegisteredEndpoint;
};

export type CatalogSettings = {
	format: CatalogFormat;
	directory: EndpointDirectory;
	orders: WeightOrders;
	log: Log;
	/** This host's own addresses, `ip:port`; registrations with one of them are rejected. */
	ownAddresses?: ReadonlySet<string>;
	/** Called when an incarnation of an endpoint has ended, since a newer one has registered under its id. */
	onDown?(incarnation: EndpointIncarnation): void;
	/** Called when the registration of an endpoint that was not draining is removed. */
	onRemoved?(incarnation: EndpointIncarnation): void;
	onDeployment?(deployment: Deployment): void;
};

/** The current configuration, endpoints and published versions. */
export class Catalog {
	readonly keys = new CustomerKeys();
	readonly #settings: CatalogSettings;
	readonly #endpointFaults: RowFaults;
	readonly #operatorFaults: RowFaults;
	#deployment: Deployment | undefined;

	constructor(settings: CatalogSettings) {
		this.#settings = settings;
		this.#endpointFaults = new RowFaults(settings.log, 'endpoint_row_invalid');
		this.#operatorFaults = new RowFaults(settings.log, 'operator_row_invalid');
	}

	get deployment(): Deployment | undefined {
		return this.#deployment;
	}

	/** Applies a row of the operators' table. A malformed row is logged and ignored. */
	applyOperatorRow(change: RowChange): void {
		const {key, value} = change;
		if (value === undefined) {
			return;
		}

		try {
			const row = this.#settings.format.decodeOperatorRow(key, value);
			operatorHandlers[row.kind](this, row);
		} catch (error) {
			this.#operatorFaults.record(change, error);
		}
	}

	/** Applies a registration or its removal. A malformed row, which another writer may leave, removes its endpoint and affects no others. */
	applyEndpoint(change: RowChange): void {
		const {key, value} = change;
		const {format, directory, log, ownAddresses} = this.#settings;
		if (value === undefined) {
			log.info('endpoint_removed', {endpoint: key});
			const removed = directory.get(key);
			directory.remove(key);
			if (!removed?.isDraining) {
				this.#settings.onRemoved?.({endpoint: key, bornMs: removed?.bornMs});
			}

			return;
		}

		try {
			const endpoint = format.decodeEndpoint(key, value);
			if (ownAddresses?.has(endpoint.address)) {
				throw new Error(`${endpoint.address} is an address of this host; an endpoint needs an address of its own`);
			}

			const known = directory.get(key);
			if (known?.isDraining !== endpoint.isDraining) {
				log.info('endpoint_registered', {
					endpoint: key, service: endpoint.service, address: endpoint.address, draining: endpoint.isDraining,
				});
			}

			directory.put(endpoint);
			if (known && compareIncarnations(endpoint, known) === 'new') {
				this.#settings.onDown?.({endpoint: key, bornMs: known.bornMs});
			}
		} catch (error) {
			directory.remove(key);
			this.#endpointFaults.record(change, error);
		}
	}

	adopt(deployment: Deployment): void {
		const {log, onDeployment} = this.#settings;
		if (deployment.version <= (this.#deployment?.version ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		this.#deployment = deployment;
		this.keys.adopt(deployment.customers);
		log.info('configuration_adopted', {version: deployment.version, routes: deployment.routes.length, customers: deployment.customers?.size});
		onDeployment?.(deployment);
	}

	publish({model, version}: PublishedVersion): void {
		const {orders, log} = this.#settings;
		if (version > (orders.findPublishedVersion(model) ?? 0)) {
			log.info('version_published', {model, version});
			orders.publish(model, version);
		}
	}
}

const operatorHandlers: Readonly<Record<OperatorRow['kind'], (catalog: Catalog, row: OperatorRow) => void>> = {
	deployment(catalog, row) {
		if (row.kind === 'deployment') {
			catalog.adopt(row.deployment);
		}
	},
	version(catalog, row) {
		if (row.kind === 'version') {
			catalog.publish(row.published);
		}
	},
	other() {
		// The table may hold rows for other purposes.
	},
};
