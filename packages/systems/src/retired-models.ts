/**
 * Tracks models that an endpoint is about to unload: new work for them is refused, and running work may finish.
 */
import {pollUntil} from './poll-until.js';

/** Models of one endpoint for which new work is currently refused. */
export class RetiredModels {
	readonly #models = new Set<string>();
	readonly #isRunning: (model: string) => boolean;

	/** @param isRunning - returns whether any work runs for a model */
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

	/** Waits until no work runs for the model; resolves to false if some still does after `timeoutMs` milliseconds. */
	async waitForRuns(model: string, timeoutMs: number): Promise<boolean> {
		return pollUntil(() => !this.#isRunning(model), timeoutMs);
	}
}
