/** The operators' command line: runs a command, and reads configuration documents. */
export * from './document.js';
export * from './program.js';
