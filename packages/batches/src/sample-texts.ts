/**
 * Converts texts of samples between their stored and their runtime form, and chooses which stored text to resume.
 */
import type {GeneratedText} from '@wasabiusher/direct';
import type {PartialText} from './batch.js';

/** A text that a batch can resume. */
export type ResumableText = PartialText & {isWhole: boolean};

/** Requirement of a batch on the weight versions that generated a text. */
export type VersionRequirement = {
	/** Oldest weight version that may have generated an event. */
	minWeightVersion: number;
	/** Whether one version must have generated the whole text. */
	isSingleVersion: boolean;
};

/** Chooses the text to resume: complete ones first, then the longest; undefined if none meets the requirement. */
export function chooseResumable(texts: readonly ResumableText[], {minWeightVersion, isSingleVersion}: VersionRequirement): ResumableText | undefined {
	return texts
		.filter(({events, versions}) => events.length > 0 && versions.every(version => version >= minWeightVersion) && !(isSingleVersion && versions.length > 1))
		.toSorted((a, b) => Number(b.isWhole) - Number(a.isWhole) || b.events.length - a.events.length)[0];
}

/** Converts a stored text to its runtime form. */
export function toSampleText({events, versions}: PartialText): GeneratedText {
	return {events: [...events], versions: new Set(versions)};
}

/** Converts a text to its stored form. */
export function toPartialText({events, versions}: GeneratedText): PartialText {
	return {events: [...events], versions: [...versions]};
}
