/**
 * Regenerates long samples of one batch under newer weights, for a later batch; see `chooseRenewals`.
 *
 * Regenerated texts never become results of the batch itself.
 */
import type {SampleOutcome, SampleRun, GeneratedText} from '@wasabiusher/direct';

/** A regenerated text and whether it is complete. */
export type RegeneratedText = {text: GeneratedText; isWhole: boolean};

type Regeneration = {run: SampleRun; abortController: AbortController; isWhole: boolean};

/** Creates a run that regenerates a sample with weights from `minWeightVersion` on. */
export type RunFactory = (sample: string, minWeightVersion: number, signal: AbortSignal) => SampleRun;

/** Regenerations by sample id. */
export class Regenerations {
	readonly #createRun: RunFactory;
	readonly #regenerations = new Map<string, Regeneration>();

	constructor(createRun: RunFactory) {
		this.#createRun = createRun;
	}

	/** Whether a regeneration of a sample was started. */
	has(sample: string): boolean {
		return this.#regenerations.has(sample);
	}

	/** Returns the regenerated text of a sample; undefined if there is none. */
	read(sample: string): RegeneratedText | undefined {
		const regeneration = this.#regenerations.get(sample);
		return regeneration && {text: regeneration.run.text, isWhole: regeneration.isWhole};
	}

	/** Starts a regeneration with weights from a version on. */
	start(sample: string, minWeightVersion: number): void {
		const abortController = new AbortController();
		const run = this.#createRun(sample, minWeightVersion, abortController.signal);
		const regeneration: Regeneration = {run, abortController, isWhole: false};
		this.#regenerations.set(sample, regeneration);
		void this.#run(sample, regeneration);
	}

	/** Stops the regeneration of a sample and removes its text. */
	discard(sample: string): void {
		this.#regenerations.get(sample)?.abortController.abort();
		this.#regenerations.delete(sample);
	}

	/** Stops all runs; the texts remain readable. */
	stop(): void {
		for (const {abortController} of this.#regenerations.values()) {
			abortController.abort();
		}
	}

	async #run(sample: string, regeneration: Regeneration): Promise<void> {
		const {kind}: SampleOutcome = await regeneration.run.run();
		if (kind === 'made') {
			regeneration.isWhole = true;
		} else if (kind !== 'stopped') {
			// Failures of the sample itself are handled by its original run.
			this.#regenerations.delete(sample);
		}
	}
}
