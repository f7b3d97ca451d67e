/**
 * The fault matrix as a page: a row a fault, a column a step, in each cell what callers were told.
 */
import process from 'node:process';
import {createFaults} from './faults.js';
import {paths, type Path} from './hooks.js';
import {listCells, runCell, type CellResult} from './run-cell.js';

/** How a cell is written: the ends by count, or what is broken. */
function formatCell({broken, ends, injected}: CellResult): string {
	if (broken.length > 0) {
		return `**broken**: ${broken.join('; ')}`;
	}

	if (injected === 0) {
		return 'not reached';
	}

	return Object.entries(ends).map(([end, count]) => `${count} ${end}`).join(', ');
}

async function formatPath(path: Path): Promise<{lines: string[]; isClean: boolean}> {
	const steps = paths[path];
	const lines = [`## ${path}`, '', `| fault | ${steps.join(' | ')} |`, `| --- |${' --- |'.repeat(steps.length)}`];
	let isClean = true;
	for (const [name, {title}] of Object.entries(createFaults(path))) {
		const cells: string[] = [];
		for (const cell of listCells(path).filter(({injections}) => injections[0]!.fault === name)) {
			// Each run has the clock to itself.
			// eslint-disable-next-line no-await-in-loop
			const result = await runCell(cell);
			isClean &&= result.broken.length === 0;
			cells.push(formatCell(result));
		}

		lines.push(`| ${title} | ${cells.join(' | ')} |`);
	}

	return {lines, isClean};
}

/** Runs every cell and prints the page; resolves to whether nothing was broken. */
export async function printMatrix(): Promise<boolean> {
	process.stdout.write('# Faults\n\nMade by `npm run faults`: each fault at each step of each path, and what four callers were told in the end.\n');
	let isClean = true;
	for (const path of Object.keys(paths) as Path[]) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		// One path after the other.
		// eslint-disable-next-line no-await-in-loop
		const result = await formatPath(path);
		isClean &&= result.isClean;
		process.stdout.write(`\n${result.lines.join('\n')}\n`);
	}

	return isClean;
}
