/** What runs over the tables: the entry's dispatch of calls and the agent's execution of them. */
export * from './answer-buffer.js';
export * from './claimed-calls.js';
export * from './configuration-adopter.js';
export * from './dispatcher.js';
export type {Endpoint} from './endpoint-run.js';
export * from './executor.js';
export type * from './executor-settings.js';
export * from './executor-queue.js';
export * from './invariants.js';
export * from './steps.js';
export * from './weight-rollout.js';
