/** The embedded deployment: the whole system in one process, for the demo and for tests. */
export * from './deployment.js';
