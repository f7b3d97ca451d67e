export type * from './waiter.js';
export type * from './slot-line.js';
export type * from './ration.js';
export * from './divide-slots.js';
export * from './home-choice.js';
export * from './ration-desk.js';
export * from './ration-home.js';
