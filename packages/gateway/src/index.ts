/** An entry host that calls endpoints directly. */
export * from './access.js';
export * from './catalog.js';
export * from './client-limits.js';
export * from './gateway.js';
export type {GatewaySettings} from './gateway-settings.js';
export * from './gateway-metrics.js';
export * from './refused-clients.js';
export * from './drain-window.js';
