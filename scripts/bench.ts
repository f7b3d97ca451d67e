/**
 * `npm run bench`: measures the request path, memory, messages, stored rows and decisions.
 *
 * Prints a table, or with `--json` one line of JSON per figure. Exits with status 1 if a figure grows faster than
 * n log n. Builds the programs first, because the request path is measured on the bundles.
 */
import process from 'node:process';
import {z} from 'zod';
import {loadSettings} from '@wasabiusher/daemon';
import {measureDecisions} from './bench/decisions.js';
import {formatFigure, type Figure} from './bench/figure.js';
import {measureMemory} from './bench/memory.js';
import {measureMessages} from './bench/messages.js';
import {measurePath} from './bench/path.js';
import {measureRecord} from './bench/record.js';

const groups = ['path', 'memory', 'messages', 'record', 'decisions'] as const;

type Group = (typeof groups)[number];

const settings = loadSettings('bench', '0.1.0', z.object({
	json: z.stringbool().default(false).describe('print one line of JSON per figure'),
	only: z.enum(['all', ...groups]).default('all').describe('group of figures to measure'),
	seconds: z.coerce.number().min(1).max(600).default(5).describe('duration of each measurement of the request path, in seconds'),
}));

const measurements: Readonly<Record<Group, () => Figure[] | Promise<Figure[]>>> = {
	async path() {
		await import('./build.js');
		return measurePath(settings.seconds);
	},
	memory: measureMemory,
	messages: measureMessages,
	record: measureRecord,
	decisions: measureDecisions,
};

function print(figure: Figure): void {
	process.stdout.write(`${settings.json ? JSON.stringify(figure) : formatFigure(figure)}\n`);
}

for (const group of groups) {
	if (settings.only !== 'all' && settings.only !== group) {
		continue;
	}

	// Groups run one after the other so that they do not compete for the processor.
	// eslint-disable-next-line no-await-in-loop
	const figures = await measurements[group]();
	for (const figure of figures) {
		print(figure);
		process.exitCode = figure.hasFailed ? 1 : process.exitCode;
	}
}

// The memory measurement leaves requests open whose timers would keep the process alive for minutes.
// eslint-disable-next-line unicorn/no-process-exit
process.exit();
