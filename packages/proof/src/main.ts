/**
 * Command line of the fault-injection tests: `npm run faults` prints the fault matrix of docs/FAULTS.md, `npm run soak` runs random combinations of faults.
 */
import process from 'node:process';
import {z} from 'zod';
import {loadSettings} from '@wasabiusher/daemon';
import {printMatrix} from './matrix.js';
import {soak} from './soak.js';

const settingsSchema = z.object({
	mode: z.enum(['faults', 'soak']).describe('faults: the matrix of single faults; soak: random runs'),
	seed: z.coerce.number().int().default(1).describe('first seed of the random runs'),
	runs: z.coerce.number().int().min(1).default(100).describe('how many random runs'),
});

const {mode, seed, runs} = loadSettings('wasabiusher-proof', '0.1.0', settingsSchema);
const isClean = mode === 'faults' ? await printMatrix() : await soak(seed, runs);
process.exitCode = isClean ? 0 : 1;
