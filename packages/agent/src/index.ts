/** The agent beside each endpoint. */
export * from './agent.js';
export * from './settings.js';
