/** Sends calls, runs and weight orders straight to endpoints, without an agent on the endpoint's host. */
export * from './call.js';
export type {PoisonRequestTracker, TrackedRequest} from './poison-requests.js';
export * from './persistent-speeds.js';
export * from './endpoint-directory.js';
export type {EndpointRequirement} from './endpoint-requirement.js';
export * from './endpoint-queue.js';
export type {QueuePosition} from './call-admission.js';
export type {EndpointState} from './endpoint-state.js';
export type {GeneratedText} from './generated-text.js';
export * from './sample-run.js';
export {maxSilenceMs} from './silence-watch.js';
export * from './weight-orders.js';
export {compareIncarnations} from './restart-watch.js';
export * from './stream-call.js';
export * from './run-meter.js';
export * from './load-announcements.js';
export * from './slot-limits.js';
export type {WeightLoad} from './load-windows.js';
