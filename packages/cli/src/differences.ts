/**
 * Lists the differences between two configurations, field by field.
 */
import type {Configuration} from '@wasabiusher/shared';

/** A field that differs. `before` is undefined for an added field, `after` for a removed one. */
export type Difference = {path: string; before: unknown; after: unknown};

/** Collects the values by path. A list counts as one value. */
function flatten(value: unknown, path: string, found: Map<string, unknown>): Map<string, unknown> {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		found.set(path, value);
		return found;
	}

	for (const [key, inner] of Object.entries(value)) {
		if (inner !== undefined) {
			flatten(inner, path === '' ? key : `${path}.${key}`, found);
		}
	}

	return found;
}

/** Returns the fields that differ, sorted by path. */
export function listDifferences(before: Configuration, after: Configuration): Difference[] {
	const valuesBefore = flatten(before, '', new Map());
	const valuesAfter = flatten(after, '', new Map());
	return [...new Set([...valuesBefore.keys(), ...valuesAfter.keys()])]
		.map(path => ({path, before: valuesBefore.get(path), after: valuesAfter.get(path)}))
		.filter(difference => JSON.stringify(difference.before) !== JSON.stringify(difference.after))
		.toSorted((a, b) => a.path < b.path ? -1 : 1);
}

/** Formats a difference as one line: `+` for an added field, `-` for a removed one, `~` for a changed one. */
export function formatDifference({path, before, after}: Difference): string {
	if (before === undefined) {
		return `+ ${path}: ${JSON.stringify(after)}`;
	}

	return after === undefined
		? `- ${path}: ${JSON.stringify(before)}`
		: `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
