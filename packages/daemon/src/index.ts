/** Code that all programs use: settings, HTTP servers, operational routes and graceful shutdown. */
export * from './bounded-output.js';
export * from './http-server.js';
export * from './listen.js';
export * from './operations.js';
export * from './run.js';
export * from './settings-error.js';
export * from './settings.js';
