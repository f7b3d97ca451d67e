/** Code that all packages use: schemas of the domain, tables, errors, hashing, random numbers and logs. */
export * from './collections.js';
export * from './configuration.js';
export * from './configuration-delta.js';
export * from './deployment.js';
export * from './errors.js';
export * from './gateway-status.js';
export * from './generation.js';
export * from './grouping.js';
export * from './hashing.js';
export * from './log.js';
export * from './problem.js';
export * from './random.js';
export * from './repeated-failures.js';
export * from './sample.js';
export * from './table.js';
