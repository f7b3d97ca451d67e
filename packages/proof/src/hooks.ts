/**
 * The steps of each path, at which faults are injected.
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

/** What passed a step. */
export type Passage = {
	step: Step;
	/** Name of the entry, if one is known to be concerned. */
	entry?: string;
	/** Name of the agent, if one is known to be concerned. */
	agent?: string;
};

/** Lets faults be injected when a step is passed. */
export class Hooks {
	#waiting: Array<{step: Step; count: number; run(passage: Passage): void}> = [];

	/** Runs once, when the step is passed for the n-th time. */
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
