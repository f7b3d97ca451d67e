/** Bounded load generation, checks of the received responses, and the simulated load patterns. */
export type * from './outcome.js';
export * from './report.js';
export * from './run.js';
export * from './settings.js';
export * from './model/decision-cost.js';
export {patterns, runExperiment} from './model/experiment.js';
