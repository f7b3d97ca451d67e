/**
 * Formats tables and values as text for people.
 */

/** Formats rows under a heading. Each column is as wide as its widest cell. */
export function formatTable(heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const all = [heading, ...rows];
	const widths = heading.map((_, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
	return all
		.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
}

/** Formats a time in milliseconds since the epoch, such as `2026-12-02 20:15:00Z`. */
export function formatTime(timeMs: number): string {
	return `${new Date(timeMs).toISOString().slice(0, 19).replace('T', ' ')}Z`;
}

export function formatBoolean(value: boolean): string {
	return value ? 'yes' : 'no';
}
