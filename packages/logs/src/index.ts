/** What the logs of any number of hosts tell afterwards: of steps, and where their time went. */
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
