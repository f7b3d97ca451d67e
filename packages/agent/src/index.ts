/** The agent: one process per endpoint, which connects it to the entries. */
export * from './agent.js';
export * from './settings.js';
export {unthrottledLinks, minIntervalPerLinkMs} from './status-throttle.js';
export * from './endpoint-monitor.js';
export * from './fence-floor.js';
export * from './order-handler.js';
export * from './poison-relay.js';
