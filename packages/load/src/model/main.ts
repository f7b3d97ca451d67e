/**
 * Implements `wasabiusher-load model`: prints the measures of each simulated load pattern beside those of the baseline.
 */
import process from 'node:process';
import {loadSettings} from '@wasabiusher/daemon';
import {z} from 'zod';
import {patterns, runExperiment} from './experiment.js';
import {formatJson, formatTable} from './report.js';
import {runRoutingSweep} from './routing-sweep.js';

const program = 'wasabiusher-load model';

const names = Object.keys(patterns);

const settingsSchema = z.object({
	patterns: z.string().default(names.join(',')).transform(text => text.split(','))
		.pipe(z.array(z.enum(names))).describe('names of patterns, comma-separated; all by default'),
	seed: z.coerce.number().int().default(1).describe('seed of all that is left to chance'),
	sweep: z.stringbool().default(false).describe('print the sweep of the routing constants instead'),
	json: z.stringbool().default(false).describe('print a line of JSON a figure'),
});

/**
 * Runs the patterns that the arguments after `model` name and prints their figures.
 *
 * @throws SettingsError if an argument is invalid
 */
export function runModel(): void {
	const settings = loadSettings(program, '0.1.0', settingsSchema);
	const figures = settings.sweep ? runRoutingSweep(settings.seed) : runExperiment(settings.patterns, settings.seed);
	process.stdout.write(`${settings.json ? formatJson(figures) : formatTable(figures)}\n`);
}
