/** The operators' command line. */
export * from './document.js';
export * from './program.js';
