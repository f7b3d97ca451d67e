/**
 * Settings of a gateway, fixed at its start.
 */
import type {Server} from 'node:http';
import type {
	BlobStore, DutyClient, RowStore, ServingClient,
} from '@wasabiusher/backends';
import type {Policy} from '@wasabiusher/decisions';
import type {Deployment, Log, Random} from '@wasabiusher/shared';
import type {CatalogFormat} from './catalog.js';

export type GatewaySettings = {
	/** Name of the host. */
	host: string;
	/** Data centre of the host; endpoints in the same one count as near. */
	dataCentre?: string;
	/** Number of CPU cores that this process may use; undefined if unknown. */
	cores?: number;
	rows: RowStore;
	blobs: BlobStore;
	client: ServingClient;
	format: CatalogFormat;
	random: Random;
	log: Log;
	/** Term of the lease under which weight orders are given, in milliseconds. */
	leaseMs: number;
	/** Whether endpoints and the platform reject requests with a fence older than the newest that they have received; true by default. */
	checksFences?: boolean;
	/** Time for which a batch must be readable after its submission, in milliseconds. */
	statusMs: number;
	/** Address, `ip:port`, and server for links from other hosts; undefined if they can't link to this one. */
	peers?: {address: string; server: Server};
	/** Addresses of this host, `ip:port`; registrations of endpoints with one of them are rejected. */
	ownAddresses?: ReadonlySet<string>;
	/** How usage is reported; undefined if it is not reported. */
	usage?: {client: DutyClient; windowMs: number; dueMs: number};
	/** Memory that the submissions of open batches may take before further ones are refused, in bytes; not limited if undefined. */
	maxSubmissionBytes?: number;
	/** Enabled mechanisms; `defaultPolicy` if not given. */
	policy?: Policy;
	onDeployment?(deployment: Deployment): void;
};
