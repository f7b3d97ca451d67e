/** Calls, runs and orders that go to endpoints directly, without an agent beside them. */
export * from './call.js';
export type {CrashWatch} from './crash-watch.js';
export * from './endpoint-classes.js';
export * from './endpoint-directory.js';
export type {EndpointNeed} from './endpoint-need.js';
export * from './endpoint-line.js';
export type {CallPlace} from './call-turn.js';
export type {EndpointStanding} from './endpoint-standing.js';
export * from './sample-run.js';
export * from './weight-orders.js';
export * from './stream-call.js';
export * from './run-meter.js';
export * from './load-news.js';
export * from './slot-limits.js';
export type {WeightLoad} from './load-windows.js';
