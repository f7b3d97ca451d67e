/**
 * Prints the fault matrix as Markdown: one row per fault, one column per step, and the outcomes in each cell.
 */
import process from 'node:process';
import {createFaults} from './faults.js';
import {paths, type Path} from './hooks.js';
import {listCells, runCell, type CellResult} from './run-cell.js';

/** Formats a cell: the outcomes with their counts, or the broken rules. */
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
			// Runs replace the global clock, so they can't overlap.
			// eslint-disable-next-line no-await-in-loop
			const result = await runCell(cell);
			isClean &&= result.broken.length === 0;
			cells.push(formatCell(result));
		}

		lines.push(`| ${title} | ${cells.join(' | ')} |`);
	}

	return {lines, isClean};
}

/** Runs every cell and prints the matrix; resolves to whether no rule was broken. */
export async function printMatrix(): Promise<boolean> {
	process.stdout.write('# Faults\n\nMade by `npm run faults`: each fault at each step of each path, and what four callers were told in the end.\n');
	let isClean = true;
	for (const path of Object.keys(paths) as Path[]) { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		// Runs replace the global clock, so paths can't overlap.
		// eslint-disable-next-line no-await-in-loop
		const result = await formatPath(path);
		isClean &&= result.isClean;
		process.stdout.write(`\n${result.lines.join('\n')}\n`);
	}

	return isClean;
}
