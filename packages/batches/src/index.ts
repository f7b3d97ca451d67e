/** Batches: the samples of one training step, submitted together, generated asynchronously and read by position. */
export * from './batch.js';
export {batchTable, BatchStore} from './batch-store.js';
export * from './batches.js';
export * from './errors.js';
export {
	HostRegistry, hostTable, type HostRegistrySettings, type LiveHost,
} from './host-registry.js';
export {RetainedTexts} from './retained-texts.js';
export {batchParts} from './parts.js';
export * from './speed-rows.js';
