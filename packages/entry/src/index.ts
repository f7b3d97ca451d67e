/** The entry: what callers, trainers and operators talk to. */
export * from './entry.js';
export * from './settings.js';
