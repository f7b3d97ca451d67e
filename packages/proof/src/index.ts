/** Fault-injection tests: a fault at every step, random runs, and mutants that the runs must catch. */
export * from './faults.js';
export * from './hooks.js';
export * from './run-cell.js';
export * from './find-broken-run.js';
export * from './mutants.js';
export * from './soak.js';
