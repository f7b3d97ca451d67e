/**
 * The text of a sample as far as it was generated, and the checks that each further event must pass.
 */
import {PlatformError, type RunEvent} from '@wasabiusher/backends';

/** The text generated so far, with the weight versions that generated it. */
export type GeneratedText = {
	/** Data of each event, in order; the event ids count from 1. */
	events: string[];
	versions: Set<number>;
};

/** Weight versions that may generate a text. */
export type VersionLimits = {
	/** Oldest weight version that may generate it. */
	minWeightVersion: number;
	isSingleVersion: boolean;
};

/** Appends an event. Throws `PlatformError` `invalid` if it is out of order or of a version that the text may not have. */
export function appendEvent(text: GeneratedText, {id, data, version}: RunEvent, {minWeightVersion, isSingleVersion}: VersionLimits): void {
	const {events, versions} = text;
	if (id !== events.length + 1) {
		throw new PlatformError('invalid', `expected event ${events.length + 1}, got ${id}`);
	}

	if (version < minWeightVersion) {
		throw new PlatformError('invalid', `event of version ${version}, expected ${minWeightVersion} or newer`);
	}

	if (isSingleVersion && versions.size > 0 && !versions.has(version)) {
		discardText(text);
		throw new PlatformError('invalid', `event of version ${version} in a text that must have a single version`);
	}

	events.push(data);
	versions.add(version);
}

/** Removes all events, for example since the weights that generated them are gone. */
export function discardText({events, versions}: GeneratedText): void {
	events.length = 0;
	versions.clear();
}
