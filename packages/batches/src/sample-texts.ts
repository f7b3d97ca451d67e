/**
 * Texts of samples as they are kept and as they are gone on with.
 */
import type {SampleText} from '@wasabiusher/direct';
import type {PartialText} from './batch.js';

/** A text that a batch can go on with. */
export type UsableText = PartialText & {isWhole: boolean};

/** What a batch asks of the versions that made a text. */
export type VersionBound = {
	/** Oldest version of the weights that may have made an event. */
	leastVersion: number;
	/** Whether one version must have made all. */
	isSingleVersion: boolean;
};

/** The text to go on with: a whole one before others, then the longest; undefined if the versions of none fit. */
export function chooseUsable(texts: readonly UsableText[], {leastVersion, isSingleVersion}: VersionBound): UsableText | undefined {
	return texts
		.filter(({events, versions}) => events.length > 0 && versions.every(version => version >= leastVersion) && !(isSingleVersion && versions.length > 1))
		.toSorted((a, b) => Number(b.isWhole) - Number(a.isWhole) || b.events.length - a.events.length)[0];
}

/** Puts a kept text in the form in which it is gone on with. */
export function toText({events, versions}: PartialText): SampleText {
	return {events: [...events], versions: new Set(versions)};
}

/** Puts a text in the form in which it is kept. */
export function toPartial({events, versions}: SampleText): PartialText {
	return {events: [...events], versions: [...versions]};
}
