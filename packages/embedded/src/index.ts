/** The embedded deployment: all of the system in one process, for a first look and for tests. */
export * from './deployment.js';
