/** Duties of one host at a time towards the platform: the usage of each customer. */
export * from './closing.js';
export * from './true-time.js';
export * from './usage.js';
export * from './usage-counts.js';
export * from './usage-reporter.js';
export * from './usage-store.js';
export * from './usage-teller.js';
