/** Decisions under load: pure, without I/O or timers. */
export * from './admission.js';
export * from './burn.js';
export * from './concurrency-limit.js';
export * from './ejection.js';
export * from './fair-queue.js';
export * from './hedging.js';
export * from './poison.js';
export * from './prefix-index.js';
export * from './retries.js';
export * from './routing.js';
export * from './subsetting.js';
