/** The agent beside each endpoint. */
export * from './agent.js';
export * from './settings.js';
export {fullPaceLinks, msPerLink} from './status-pace.js';
export * from './endpoint-watch.js';
export * from './fence-floor.js';
export * from './order-desk.js';
export * from './poison-relay.js';
