/** Small stand-ins for the external systems that the service depends on, for the demo and for tests. */
export * from './engine.js';
export {blockCharacters, listPrefixes} from './prefix-cache.js';
export {
	engineSettingsSchema, poisonMarker, type EngineSettings, type EngineSwitches,
} from './engine-settings.js';
export * from './ledger.js';
export * from './memory-duties.js';
export * from './memory-membership.js';
export * from './memory-row-store.js';
export * from './memory-serving.js';
export * from './memory-storage.js';
export * from './memory-weight-store.js';
export * from './platform-server.js';
export * from './raw-server.js';
export * from './relay.js';
export * from './scorer.js';
export * from './settings.js';
export * from './standin.js';
export type {StorageCounts, StorageSwitches} from './storage-gate.js';
