/**
 * Entry point of `wasabiusher`, the operators' command line.
 */
import process from 'node:process';
import {runProgram} from './program.js';

// A reader that closes the pipe early, such as a pager, is not a failure.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

process.exitCode = await runProgram({
	argv: process.argv.slice(2),
	environment: process.env,
	writeOut(text) {
		process.stdout.write(`${text}\n`);
	},
	writeError(text) {
		process.stderr.write(`${text}\n`);
	},
});
