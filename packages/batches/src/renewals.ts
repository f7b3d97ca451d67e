/**
 * Second texts of one batch's long samples, made under newer weights for a later batch; see `chooseRenewals`.
 *
 * They are never listed as results of the batch itself.
 */
import type {SampleOutcome, SampleRun, SampleText} from '@wasabiusher/direct';

/** A second text and how far it has come. */
export type RenewedText = {text: SampleText; isWhole: boolean};

type Renewal = {run: SampleRun; stop: AbortController; isWhole: boolean};

/** Begins a run of a sample anew. */
export type RunStarter = (sample: string, leastVersion: number, signal: AbortSignal) => SampleRun;

/** The second texts. */
export class Renewals {
	readonly #startRun: RunStarter;
	readonly #renewals = new Map<string, Renewal>();

	constructor(startRun: RunStarter) {
		this.#startRun = startRun;
	}

	/** Whether a second text of a sample was begun. */
	has(sample: string): boolean {
		return this.#renewals.has(sample);
	}

	/** The second text of a sample; undefined if none was begun. */
	read(sample: string): RenewedText | undefined {
		const renewal = this.#renewals.get(sample);
		return renewal && {text: renewal.run.text, isWhole: renewal.isWhole};
	}

	/** Begins a second text that only weights from a version on may make. */
	begin(sample: string, leastVersion: number): void {
		const stop = new AbortController();
		const run = this.#startRun(sample, leastVersion, stop.signal);
		const renewal: Renewal = {run, stop, isWhole: false};
		this.#renewals.set(sample, renewal);
		void this.#await(sample, renewal);
	}

	/** Ends the second text of a sample that nobody will want. */
	drop(sample: string): void {
		this.#renewals.get(sample)?.stop.abort();
		this.#renewals.delete(sample);
	}

	/** Ends all runs; the texts stay readable. */
	stop(): void {
		for (const {stop} of this.#renewals.values()) {
			stop.abort();
		}
	}

	async #await(sample: string, renewal: Renewal): Promise<void> {
		const {kind}: SampleOutcome = await renewal.run.run();
		if (kind === 'made') {
			renewal.isWhole = true;
		} else if (kind !== 'stopped') {
			// What the endpoints say of the sample itself is learnt from its first text.
			this.#renewals.delete(sample);
		}
	}
}
