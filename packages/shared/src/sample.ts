/**
 * Samples: what trainers draw, and the versions that made them.
 */
import {z} from 'zod';

/** Tokens made by one weight version: from `from` (included) to `to` (excluded). */
export const versionSpanSchema = z.object({
	version: z.int().nonnegative(),
	from: z.int().nonnegative(),
	to: z.int().positive(),
});

export type VersionSpan = z.infer<typeof versionSpanSchema>;

export const scoreSchema = z.union([
	z.object({value: z.number()}),
	z.object({missing: z.string()}),
]);

export type Score = z.infer<typeof scoreSchema>;

/** A finished sample, as it is committed and handed over. */
export const sampleSchema = z.object({
	/** `<step>/<group>/<index>`: fixed by its place, whichever attempt makes it. */
	id: z.string(),
	step: z.string(),
	group: z.int().nonnegative(),
	index: z.int().nonnegative(),
	attempt: z.int().positive(),
	model: z.string(),
	/** In order, without gaps, from what the engine reported for each part. */
	versions: z.array(versionSpanSchema).min(1),
	text: z.string(),
	tokens: z.int().nonnegative(),
	score: scoreSchema.optional(),
});

export type Sample = z.infer<typeof sampleSchema>;

/** The sample's id, fixed by step, group and index. */
export function formatSampleId(step: string, group: number, index: number): string {
	return `${step}/${group}/${index}`;
}

/** Appends tokens made by a version to the spans, merging with the last if alike. */
export function appendSpan(spans: readonly VersionSpan[], version: number, count: number): VersionSpan[] {
	const last = spans.at(-1);
	const from = last?.to ?? 0;
	if (count <= 0) {
		return [...spans];
	}

	if (last?.version === version) {
		return [...spans.slice(0, -1), {...last, to: last.to + count}];
	}

	return [...spans, {version, from, to: from + count}];
}

/** The oldest version that made any part; what freshness is judged by. */
export function findOldestVersion(spans: readonly VersionSpan[]): number {
	return Math.min(...spans.map(span => span.version));
}
