/** Code that all programs use: settings, HTTP servers, operational routes and graceful shutdown. */
export * from './bounded-output.js';
export * from './body-segments.js';
export * from './collect-garbage.js';
export * from './connection-table.js';
export type {ClosedConnection, ClosingReason} from './connections.js';
export * from './http-error.js';
export * from './http-server.js';
export * from './json-documents.js';
export * from './json-measure.js';
export * from './listen.js';
export * from './memory-budget.js';
export * from './operations.js';
export type {BodyRefusal, IncomingBody, RefusedBody} from './request-bodies.js';
export * from './run.js';
export * from './settings-error.js';
export * from './settings.js';
