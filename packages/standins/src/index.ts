/** Small stand-ins of what surrounds the system, for the demo and for tests. */
export * from './engine.js';
export * from './ledger.js';
export * from './memory-storage.js';
export * from './platform-server.js';
