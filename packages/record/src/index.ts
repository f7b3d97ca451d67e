/** Durable records in the platform's table service and object store. */
export * from './claim-log.js';
export * from './configuration-history.js';
export * from './crash-rows.js';
export * from './errors.js';
export * from './group-commit.js';
export {readLeaseOwner, type Lease, type LeaseOwner} from './lease.js';
export * from './lease-holder.js';
export * from './sample-log.js';
export * from './settled-write.js';
export * from './takeover-rate-limit.js';
export * from './part-tables.js';
export * from './row-faults.js';
export * from './table-follower.js';
