/** Analyses the logs of any number of hosts: the history of an id, and reports on steps and runs with the time that each phase took. */
export * from './explain.js';
export * from './host-clocks.js';
export * from './line.js';
export * from './read-lines.js';
export * from './runs-report.js';
export * from './slot-use.js';
export * from './step-chain.js';
export * from './step-history.js';
export * from './step-plot.js';
export * from './steps-report.js';
