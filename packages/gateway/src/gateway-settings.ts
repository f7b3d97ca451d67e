/**
 * What a gateway is told at its start.
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
	/** Where it is; endpoints there are near. */
	dataCentre?: string;
	/** Cores that this process may use; undefined if it does not know. */
	cores?: number;
	rows: RowStore;
	blobs: BlobStore;
	client: ServingClient;
	format: CatalogFormat;
	random: Random;
	log: Log;
	/** Term of the lease under which orders are given, in milliseconds. */
	leaseMs: number;
	/** Whether endpoints and the platform refuse what comes under an older fence than they have seen; they do by default. */
	checksFences?: boolean;
	/** How long a batch is read after it was handed in, in milliseconds. */
	statusMs: number;
	/** Where other hosts link to this one; undefined if they can't. */
	peers?: {address: string; server: Server};
	/** Addresses of this host, `ip:port`, at which no endpoint can be. */
	ownAddresses?: ReadonlySet<string>;
	/** How usage is reported; undefined if nobody wants to know it. */
	usage?: {client: DutyClient; windowMs: number; dueMs: number};
	/** Which mechanisms decide; all by default. */
	policy?: Policy;
	onDeployment?(deployment: Deployment): void;
};
