/**
 * The texts of one share's samples: what others have left of them, what is being made, and what is whole.
 */
import type {SampleRun, SampleText} from '@wasabiusher/direct';
import type {KeptText, PartialText, SampleResult} from './batch.js';
import type {PartialTexts} from './batch-store.js';
import type {RenewedText} from './renewals.js';
import {
	chooseUsable, toPartial, type UsableText, type VersionBound,
} from './sample-texts.js';

/** What is known of a share's texts when its ownership begins. */
export type LeftTexts = {
	/** What an earlier owner of the share has written down. */
	partials: ReadonlyMap<string, PartialText>;
	/** What earlier batches have left; a group that is found here was carried over. */
	kept: ReadonlyMap<string, KeptText>;
};

/** Texts by the sample's id. */
export class ShareTexts {
	/** Runs that make them at present, or have when the batch ended. */
	readonly runs = new Map<string, SampleRun>();
	/** Whole texts that wait for their score or for the store. */
	readonly whole = new Map<string, SampleText>();
	readonly #left: LeftTexts;

	constructor(left: LeftTexts) {
		this.#left = left;
	}

	/** How many texts others have left, by where they were found. */
	get leftCounts(): {partials: number; kept: number} {
		return {partials: this.#left.partials.size, kept: this.#left.kept.size};
	}

	/** Whether a sample was carried over from an earlier batch. */
	isCarried(sample: string): boolean {
		return this.#left.kept.has(sample);
	}

	/** Whether there is anything of a sample's text. */
	hasBegun(sample: string): boolean {
		return this.whole.has(sample) || (this.runs.get(sample)?.text.events.length ?? 0) > 0;
	}

	/** Texts that are not whole yet, the longest first: not all may fit into one write. */
	listPartials(): PartialTexts {
		const begun = [...this.runs].filter(([, {text}]) => text.events.length > 0).toSorted(([, a], [, b]) => b.text.events.length - a.text.events.length);
		return new Map(begun.map(([id, {text}]) => [id, toPartial(text)]));
	}

	/** The longest of what was left of a sample's text, if its versions fit; undefined if nothing was. */
	findUsable(sample: string, bound: VersionBound): UsableText | undefined {
		const partial = this.#left.partials.get(sample);
		const kept = this.#left.kept.get(sample);
		const texts = [kept, kept?.renewed, partial && {...partial, isWhole: false}].filter(text => text !== undefined);
		return chooseUsable(texts, bound);
	}

	/**
	 * What is there of a sample for a later batch.
	 *
	 * @param result - what is listed of it
	 * @param renewed - its second text
	 * @param keptMs - time on the store's clock
	 */
	findKeepable(sample: string, result: SampleResult | undefined, renewed: RenewedText | undefined, keptMs: number): KeptText | undefined {
		const text = result ? toKept(result, keptMs) : this.#findOpen(sample, keptMs);
		return text && renewed ? {...text, renewed: {...toPartial(renewed.text), isWhole: renewed.isWhole}} : text;
	}

	#findOpen(sample: string, keptMs: number): KeptText {
		const whole = this.whole.get(sample);
		if (whole) {
			return {...toPartial(whole), isWhole: true, keptMs};
		}

		const run = this.runs.get(sample);
		const left = run ? toPartial(run.text) : this.#left.kept.get(sample) ?? {events: [], versions: []};
		return {isWhole: false, ...left, keptMs};
	}
}

/** A listed text; undefined for a sample that was given up, which is begun anew. */
function toKept({state, text, versions}: SampleResult, keptMs: number): KeptText | undefined {
	return state === 'made'
		? {
			events: text.split('\n'), versions, isWhole: true, keptMs,
		}
		: undefined;
}
