/** Duties towards the platform that one host at a time performs: reporting the usage of each customer. */
export * from './window-closing.js';
export * from './reference-clock.js';
export * from './usage.js';
export * from './usage-counts.js';
export * from './usage-reporter.js';
export * from './usage-store.js';
export * from './usage-recorder.js';
