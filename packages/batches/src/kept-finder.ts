/**
 * Finds what earlier batches of a trainer have left of a new one's samples.
 */
import {describeError, type Log} from '@wasabiusher/shared';
import type {BatchRecord, KeptText, Submission} from './batch.js';
import {nameForCustomer} from './customers.js';
import type {HostRegistry} from './host-registry.js';
import type {KeptTexts} from './kept-texts.js';
import {needAgeMs, type KnownBatches} from './known-batches.js';
import {pause} from './pause.js';
import type {RetiredBatches} from './retired-batches.js';
import {listShareSamples} from './shares.js';

/** Time for another process to keep its texts after it has seen a new batch, in milliseconds: some calls to the store. */
const keepMs = 50;

/** Part of the wanted groups that may have been carried over from an earlier batch; they come first. */
const carriedPart = 0.5;

export type KeptFinderSettings = {
	keptTexts: KeptTexts;
	retired: RetiredBatches;
	known: KnownBatches;
	hosts: HostRegistry;
	log: Log;
	/** Milliseconds on the store's steady clock. */
	readStoreMs(): number;
};

/** Finds kept texts. */
export class KeptFinder {
	readonly #settings: KeptFinderSettings;

	constructor(settings: KeptFinderSettings) {
		this.#settings = settings;
	}

	/**
	 * Finds the texts of one share's samples.
	 *
	 * @param whenKept - resolves when they can be expected to be there
	 */
	async find(submission: Submission, {shares}: BatchRecord, share: number, whenKept: Promise<void>): Promise<Map<string, KeptText>> {
		const {samples, wantedGroups, step, customer} = submission;
		const {keptTexts, log} = this.#settings;
		const ours = new Set(listShareSamples(submission, share, shares.length).flatMap(({group}) => group ?? []));
		const groups = [...new Set(samples.flatMap(({group}) => group ?? []))].slice(0, Math.ceil(wantedGroups * carriedPart)).filter(group => ours.has(group));
		if (step === 0 || groups.length === 0) {
			return new Map();
		}

		await whenKept;
		try {
			const found = await Promise.all(groups.map(async group => keptTexts.findGroup(nameForCustomer(customer, group))));
			return new Map(found.flatMap(texts => [...texts]));
		} catch (error) {
			log.warn('texts_not_found', {reason: describeError(error)});
			return new Map();
		}
	}

	/** Waits until what was made of a trainer's last batches is kept: told if this process ran them, else some calls to the store later. */
	async waitForKept(series: string): Promise<void> {
		const {hosts, known, retired, readStoreMs} = this.#settings;
		const last = known.listEnded(series, readStoreMs() - needAgeMs);
		const areOurs = last.every(({shares}) => shares.every(({owner}) => owner === hosts.incarnation));
		const isTold = areOurs && retired.isKeeping(series);
		await Promise.all([retired.whenKept(series), pause(isTold ? 0 : keepMs)]);
	}
}
