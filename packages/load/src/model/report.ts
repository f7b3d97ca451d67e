/**
 * Prints figures as a table for people or lines of JSON for programs.
 */
import {isReached, type Bar, type Figure} from './figure.js';

const digits = 3;

function formatNumber(value: number | undefined): string {
	return value === undefined ? '–' : String(Number(value.toPrecision(digits)));
}

function formatBar(bar: Bar | undefined): string {
	if (!bar) {
		return '';
	}

	return 'atLeast' in bar ? `≥ ${bar.atLeast}` : `≤ ${bar.atMost}`;
}

function formatVerdict(figure: Figure): string {
	if (!figure.bar) {
		return '';
	}

	return isReached(figure) ? 'reached' : 'NOT REACHED';
}

/** A Markdown table, aligned so that it reads well on a terminal too. */
export function formatTable(figures: readonly Figure[]): string {
	const header = ['pattern', 'measure', 'real', 'baseline', 'must reach', ''];
	const rows = figures.map(figure => [
		figure.pattern, figure.measure, formatNumber(figure.real), formatNumber(figure.baseline), formatBar(figure.bar), formatVerdict(figure),
	]);
	const widths = header.map((_, column) => Math.max(3, ...[header, ...rows].map(row => row[column]!.length)));
	const format = (row: readonly string[]) => `| ${row.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
	return [format(header), format(widths.map(width => '-'.repeat(width))), ...rows.map(row => format(row))].join('\n');
}

/** A line of JSON for each figure. */
export function formatJson(figures: readonly Figure[]): string {
	return figures.map(figure => JSON.stringify({...figure, isReached: isReached(figure)})).join('\n');
}
