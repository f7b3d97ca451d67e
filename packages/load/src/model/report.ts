/**
 * Formats figures as a human-readable table or as JSON lines.
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

/** Returns a Markdown table with padded columns, so that it is also readable on a terminal. */
export function formatTable(figures: readonly Figure[]): string {
	const header = ['pattern', 'measure', 'real', 'baseline', 'must reach', ''];
	const rows = figures.map(figure => [
		figure.pattern, figure.measure, formatNumber(figure.real), formatNumber(figure.baseline), formatBar(figure.bar), formatVerdict(figure),
	]);
	const widths = header.map((_, column) => Math.max(3, ...[header, ...rows].map(row => row[column]!.length)));
	const format = (row: readonly string[]) => `| ${row.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
	return [format(header), format(widths.map(width => '-'.repeat(width))), ...rows.map(row => format(row))].join('\n');
}

/** Returns one line of JSON per figure. */
export function formatJson(figures: readonly Figure[]): string {
	return figures.map(figure => JSON.stringify({...figure, isReached: isReached(figure)})).join('\n');
}
