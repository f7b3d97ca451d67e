/** Links between the processes of this project: typed messages over WebSocket (ws), encoded with msgpackr. */
export * from './client.js';
export * from './codec.js';
export * from './errors.js';
export * from './handshake.js';
export * from './limits.js';
export * from './link.js';
export * from './messages.js';
export * from './proof.js';
export * from './server.js';
