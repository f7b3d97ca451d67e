/**
 * `npm run capacity -- --bench FILE`: works the tables of docs/CAPACITY.md out from the bench's JSON.
 *
 * Without a file it reads standard input: `npm run --silent bench -- --json | npm run --silent capacity`.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readStream} from 'node:stream/consumers';
import {z} from 'zod';
import {loadSettings} from '@wasabiusher/daemon';
import {describeSize, type FigureSource} from './capacity/size.js';
import {formatCapacity} from './capacity/tables.js';

const settings = loadSettings('capacity', '0.1.0', z.object({
	bench: z.string().default('-').describe('file with the bench\'s JSON, a line a figure; - for standard input'),
}));

const figureSchema = z.object({name: z.string(), value: z.number(), intercept: z.number().optional()});

const content = settings.bench === '-' ? await readStream(process.stdin) : await readFile(settings.bench, 'utf8');
const figures = new Map(content.split('\n').filter(line => line.startsWith('{')).map(line => {
	const figure = figureSchema.parse(JSON.parse(line));
	return [figure.name, figure] as const;
}));

/** Throws when the bench lacks a figure, so that no table is made from a guess. */
const source: FigureSource = name => {
	const figure = figures.get(name);
	if (!figure) {
		throw new Error(`the bench has no figure "${name}"`);
	}

	return figure;
};

process.stdout.write(`${formatCapacity(describeSize(), source)}\n`);
