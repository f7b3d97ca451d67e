/** What runs over the tables: the entry's dispatch of calls and the agent's execution of them. */
export * from './answer-buffer.js';
export * from './claimed-calls.js';
export * from './configuration-adopter.js';
export * from './dispatcher.js';
export type {Endpoint} from './endpoint-run.js';
export * from './executor-queue.js';
export * from './executor.js';
export * from './invariants.js';
export * from './objective-metrics.js';
export type {Delivery} from './steps-delivery.js';
export type {StepRequest} from './steps-request.js';
export type {SlotFacts, StepDecisions} from './steps-slots.js';
export type {Step} from './steps-step.js';
export * from './steps.js';
export * from './suspicion-exchange.js';
export * from './weight-rollout.js';
