/**
 * Models that an endpoint is about to unload: no new work is taken for them, and what runs is let end.
 */

/** How often it is looked whether the last run of a model has ended, in milliseconds. */
const pollMs = 50;

/** Models of one endpoint for which no work is taken at present. */
export class RetiredModels {
	readonly #models = new Set<string>();
	readonly #isRunning: (model: string) => boolean;

	/** @param isRunning - whether anything runs for a model */
	constructor(isRunning: (model: string) => boolean) {
		this.#isRunning = isRunning;
	}

	has(model: string | undefined): boolean {
		return model !== undefined && this.#models.has(model);
	}

	add(model: string): void {
		this.#models.add(model);
	}

	remove(model: string): void {
		this.#models.delete(model);
	}

	/** Resolves to whether nothing runs for the model any more, at the latest after the given time. */
	async waitForRuns(model: string, timeoutMs: number): Promise<boolean> {
		const giveUpAt = performance.now() + timeoutMs;
		while (this.#isRunning(model) && performance.now() < giveUpAt) {
			// Each look waits for the one before.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}

		return !this.#isRunning(model);
	}
}
