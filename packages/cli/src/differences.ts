/**
 * What a change changes, field by field.
 */
import type {Configuration} from '@wasabiusher/shared';

/** `before` is undefined for what is added, `after` for what is removed. */
export type Difference = {path: string; before: unknown; after: unknown};

/** Values by path; lists count as one value. */
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

/** Lists the fields that differ, in order of their paths. */
export function listDifferences(before: Configuration, after: Configuration): Difference[] {
	const old = flatten(before, '', new Map());
	const fresh = flatten(after, '', new Map());
	return [...new Set([...old.keys(), ...fresh.keys()])]
		.map(path => ({path, before: old.get(path), after: fresh.get(path)}))
		.filter(difference => JSON.stringify(difference.before) !== JSON.stringify(difference.after))
		.toSorted((a, b) => a.path < b.path ? -1 : 1);
}

/** One line a field: `+` added, `-` removed, `~` changed. */
export function formatDifference({path, before, after}: Difference): string {
	if (before === undefined) {
		return `+ ${path}: ${JSON.stringify(after)}`;
	}

	return after === undefined
		? `- ${path}: ${JSON.stringify(before)}`
		: `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
