/** Decisions under load: pure, without I/O or timers. */
export * from './fair-queue.js';
export * from './routing.js';
