/**
 * The steps of each path, and hooks that inject faults at them.
 */

/** Steps by path, in order. */
export const paths = {
	call: ['admit', 'dispatch', 'run', 'stream', 'finish', 'deliver'],
	posting: ['admit', 'claim', 'dispatch', 'run', 'finish', 'deliver', 'complete'],
	sample: ['admit', 'dispatch', 'run', 'stream', 'finish', 'commit', 'hand-over', 'acknowledge'],
	configuration: ['change', 'write', 'adopt'],
} as const;

export type Path = keyof typeof paths;

export type Step = typeof paths[Path][number];

/** One passage of a step, with the processes involved. */
export type Passage = {
	step: Step;
	/** Name of the entry involved, if known. */
	entry?: string;
	/** Name of the agent involved, if known. */
	agent?: string;
};

/** Runs registered functions when a step is passed. */
export class Hooks {
	#waiting: Array<{step: Step; count: number; run(passage: Passage): void}> = [];

	/** Registers a function to run once, at the n-th passage of the step from now on. */
	once(step: Step, run: (passage: Passage) => void, count = 1): void {
		this.#waiting.push({step, count, run});
	}

	pass(passage: Passage): void {
		for (const waiting of this.#waiting.filter(({step}) => step === passage.step)) {
			waiting.count -= 1;
			if (waiting.count === 0) {
				this.#waiting = this.#waiting.filter(other => other !== waiting);
				waiting.run(passage);
			}
		}
	}
}
