/** Interfaces to the platform and to endpoints, and their HTTP clients. */
export type * from './duty.js';
export type * from './endpoint.js';
export * from './adapters.js';
export * from './errors.js';
export * from './membership.js';
export type * from './row-store.js';
export * from './row-pages.js';
export type * from './serving.js';
export type * from './storage.js';
export {
	callEmpty, discardBody, maxSuccessStatus, type HttpCall, type WholeCall,
} from './http.js';
export {Connections, type ConnectionLimits} from './connections.js';
export {DeadlineError, isSilence, toPlatformError} from './failures.js';
export * from './http-engine.js';
export * from './http-membership.js';
export * from './http-plain-service.js';
export * from './http-storage.js';
