/**
 * `npm run capacity -- --bench FILE`: computes the tables of docs/CAPACITY.md from the bench's JSON output.
 *
 * Without a file it reads standard input: `npm run --silent bench -- --json | npm run --silent capacity`.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readStream} from 'node:stream/consumers';
import {z} from 'zod';
import {loadSettings} from '@wasabiusher/daemon';
import {describeSize, type FigureSource} from './capacity/size.js';
import {formatCapacity} from './capacity/tables.js';

const settings = loadSettings('capacity', '0.1.0', z.object({
	page: z.string().optional().describe('page whose tables are replaced; if not set, the tables are printed'),
	bench: z.string().default('-').describe('file with the bench\'s JSON output, one figure per line; - for standard input'),
}));

const figureSchema = z.object({
	name: z.string(),
	value: z.number(),
	intercept: z.number().optional(),
	sizes: z.array(z.object({n: z.number(), value: z.number()})).optional(),
});

/** Lines of the page that enclose the tables. */
const markers = {begin: '<!-- tables: npm run capacity -->', end: '<!-- end of tables -->'} as const;

const content = settings.bench === '-' ? await readStream(process.stdin) : await readFile(settings.bench, 'utf8');
const figures = new Map(content.split('\n').filter(line => line.startsWith('{')).map(line => {
	const figure = figureSchema.parse(JSON.parse(line));
	return [figure.name, figure] as const;
}));

/** Looks up a figure. Throws if the bench output lacks it, so that no table is computed from a default. */
const findFigure: FigureSource = name => {
	const figure = figures.get(name);
	if (!figure) {
		throw new Error(`the bench output has no figure "${name}"; run the bench with --json and all groups`);
	}

	return figure;
};

const tables = formatCapacity(describeSize(), findFigure);
if (settings.page === undefined) {
	process.stdout.write(`${tables}\n`);
} else {
	const page = await readFile(settings.page, 'utf8');
	const begin = page.indexOf(markers.begin);
	const end = page.indexOf(markers.end);
	if (begin === -1 || end < begin) {
		throw new Error(`${settings.page}: expected the line "${markers.begin}" and after it "${markers.end}"`);
	}

	await writeFile(settings.page, `${page.slice(0, begin)}${markers.begin}\n\n${tables}\n\n${page.slice(end)}`);
}
