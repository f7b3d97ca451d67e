/**
 * Finds the texts of a new batch's samples that were retained from earlier batches of the trainer.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, RetainedText, Submission} from './batch.js';
import {scopeToCustomer} from './customers.js';
import type {HostRegistry} from './host-registry.js';
import type {RetainedTexts} from './retained-texts.js';
import {demandAgeMs, type KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import type {RetiredBatches} from './retired-batches.js';
import {listShareSamples} from './shares.js';

/** Time for another process to write its retained texts after it has received a new batch, in milliseconds: a few calls to the store. */
const retainDelayMs = 50;

/** Maximum fraction of the wanted groups that is carried over from an earlier batch; these groups come first in the submission. */
const carriedOverFraction = 0.5;

export type RetainedTextFinderSettings = {
	retainedTexts: RetainedTexts;
	retired: RetiredBatches;
	known: KnownBatches;
	hosts: HostRegistry;
	log: Log;
	/** Returns the time on the store's steady clock, in milliseconds. */
	readStoreMs(): number;
};

/** Finds retained texts. */
export class RetainedTextFinder {
	readonly #settings: RetainedTextFinderSettings;

	constructor(settings: RetainedTextFinderSettings) {
		this.#settings = settings;
	}

	/**
	 * Finds the retained texts of one share's samples, by sample id. Returns none if the store can't be read.
	 *
	 * @param whenRetained - resolves when the texts are expected to be in the store
	 */
	async find(submission: Submission, {shares}: BatchRecord, share: number, whenRetained: Promise<void>): Promise<Map<string, RetainedText>> {
		const {samples, wantedGroups, step, customer} = submission;
		const {retainedTexts, log} = this.#settings;
		const ownGroups = new Set(listShareSamples(submission, share, shares.length).flatMap(({group}) => group ?? []));
		const groups = [...new Set(samples.flatMap(({group}) => group ?? []))].slice(0, Math.ceil(wantedGroups * carriedOverFraction)).filter(group => ownGroups.has(group));
		if (step === 0 || groups.length === 0) {
			return new Map();
		}

		await whenRetained;
		try {
			const found = await Promise.all(groups.map(async group => retainedTexts.findGroup(scopeToCustomer(customer, group))));
			return new Map(found.flatMap(texts => [...texts]));
		} catch (error) {
			log.warn('texts_not_found', {reason: describeError(error)});
			return new Map();
		}
	}

	/** Waits until texts of a trainer's last batches are retained: until the writes of this process are done if it ran them, otherwise also for a fixed time. */
	async waitForRetained(series: string): Promise<void> {
		const {hosts, known, retired, readStoreMs} = this.#settings;
		const recent = known.listEnded(series, readStoreMs() - demandAgeMs);
		const areAllOwnedHere = recent.every(({shares}) => shares.every(({owner}) => owner === hosts.incarnation));
		const isWrittenHere = areAllOwnedHere && retired.isWriting(series);
		await Promise.all([retired.waitForWrites(series), pause(isWrittenHere ? 0 : retainDelayMs)]);
	}
}
