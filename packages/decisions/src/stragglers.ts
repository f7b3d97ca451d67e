/**
 * Decides which samples are copied to another endpoint late in a step.
 *
 * Load pattern: most of a step is done, slots are idle, and a few samples are still running, some at a slow endpoint. Without copies the step waits for
 * the last sample of the slowest endpoint. A copy resumes from the text so far where the profile allows it, or starts again; the first to finish
 * provides the sample (backup tasks: Dean and Ghemawat, 2004).
 */

/** A sample that is still running late in a step. */
export type Straggler = {
	id: string;
	endpoint: string;
	/** Expected number of remaining tokens, from `LengthPrediction`. */
	remainingTokens: number;
	/** Number of tokens made so far, which a copy has to make again unless it can resume from them. */
	madeTokens: number;
	/** Tokens per millisecond of the sample where it runs. */
	speed: number;
	hasCopy: boolean;
	/**
	 * Time until the rest of its step could be complete, in milliseconds: predicted remaining tokens over the tokens per millisecond of all endpoints.
	 * Undefined if unknown.
	 */
	stepLeftMs?: number;
};

/** An endpoint with idle slots. */
export type IdleEndpoint = {
	id: string;
	slots: number;
	/** Tokens per millisecond of one more sample at the endpoint. */
	speed: number;
};

export type Copy = {sample: string; to: string};

/**
 * Fraction of a step that must be finished or running before any copy is worth its work; before that, only samples that would outlast the step where
 * they run are copied.
 */
const lateStepFraction = 0.9;

/** Maximum expected time of a copy, as a fraction of the remaining time of the original. */
const maxCopyTimeFraction = 0.7;

/**
 * Time to process a resumed sample's text at its new endpoint, in milliseconds per token; prompts are processed some hundred times as fast as answers
 * are generated.
 */
const recomputeMsPerToken = 0.1;

/**
 * Chooses copies, longest remaining time first; to be called before new samples get the free slots.
 *
 * @param startedFraction - fraction of the step's samples that are finished or running
 * @param canResume - whether a copy can resume from the text so far
 */
export function planCopies(stragglers: readonly Straggler[], idle: readonly IdleEndpoint[], startedFraction: number, canResume: boolean): Copy[] {
	const targets = idle.map(endpoint => ({...endpoint}));
	const copies: Copy[] = [];
	const slowest = stragglers
		.filter(straggler => !straggler.hasCopy && isLate(straggler, startedFraction))
		.toSorted((a, b) => (b.remainingTokens / b.speed) - (a.remainingTokens / a.speed));
	for (const straggler of slowest) {
		const target = findFastest(targets, straggler.endpoint);
		if (target && estimateCopyMs(straggler, target, canResume) < maxCopyTimeFraction * straggler.remainingTokens / straggler.speed) {
			target.slots -= 1;
			copies.push({sample: straggler.id, to: target.id});
		}
	}

	return copies;
}

function isLate({remainingTokens, speed, stepLeftMs}: Straggler, startedFraction: number): boolean {
	return startedFraction >= lateStepFraction || (stepLeftMs !== undefined && remainingTokens / speed > stepLeftMs);
}

function findFastest(targets: readonly IdleEndpoint[], avoid: string): IdleEndpoint | undefined {
	return targets
		.filter(({id, slots}) => slots > 0 && id !== avoid)
		.toSorted((a, b) => b.speed - a.speed)[0];
}

/** Returns the expected time of a copy, in milliseconds. */
function estimateCopyMs({remainingTokens, madeTokens}: Straggler, {speed}: IdleEndpoint, canResume: boolean): number {
	return canResume ? (madeTokens * recomputeMsPerToken) + (remainingTokens / speed) : (madeTokens + remainingTokens) / speed;
}
