export type * from './waiter.js';
export type * from './slot-line.js';
export type * from './ration.js';
export * from './host-line.js';
export * from './return-turns.js';
export * from './wait-order.js';
