/**
 * Which samples are run a second time late in a step.
 *
 * Load pattern: most of a step is done, slots are idle, and a few samples run on, some at a slow endpoint.
 * Without this the step waits for the slowest endpoint's last sample. A copy goes on from the text so far where the
 * profile allows, or begins anew; the first to finish is the sample (backup tasks: Dean and Ghemawat, 2004).
 */

/** A sample that runs late in a step. */
export type Straggler = {
	id: string;
	endpoint: string;
	/** Tokens still expected, as `LengthPrediction` gives them. */
	remainingTokens: number;
	/** Tokens made so far, all of which a copy makes again unless it can go on from them. */
	madeTokens: number;
	/** Tokens a millisecond that it gets where it runs. */
	speed: number;
	isDoubled: boolean;
	/**
	 * When the rest of its step could be whole, in milliseconds from now: predicted tokens left over what all
	 * endpoints make in a millisecond. Undefined if not known.
	 */
	stepLeftMs?: number;
};

/** An endpoint with idle slots. */
export type IdleEndpoint = {
	id: string;
	slots: number;
	/** Tokens a millisecond that one more sample gets there. */
	speed: number;
};

export type Copy = {sample: string; to: string};

/**
 * Part of a step that must be finished or running before any copy is worth its work; before that only of a
 * sample that would outlast the step where it runs.
 */
const lateStepFraction = 0.9;

/** A copy must be expected to finish in less than this part of the time that the first still takes. */
const maxCopyTimeFraction = 0.7;

/** Time to compute a moved sample's text so far at its new place, in milliseconds for each token; prompts compute some hundred times as fast as answers. */
const recomputeMsPerToken = 0.1;

/**
 * Chooses copies, longest remaining time first; to be asked before new samples are given the free slots.
 *
 * @param startedFraction - part of the step's samples that are finished or running
 * @param canResume - whether a copy may go on from the text so far
 */
export function planCopies(stragglers: readonly Straggler[], idle: readonly IdleEndpoint[], startedFraction: number, canResume: boolean): Copy[] {
	const targets = idle.map(endpoint => ({...endpoint}));
	const copies: Copy[] = [];
	const slowest = stragglers
		.filter(straggler => !straggler.isDoubled && isLate(straggler, startedFraction))
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

/** Time of a copy in milliseconds. */
function estimateCopyMs({remainingTokens, madeTokens}: Straggler, {speed}: IdleEndpoint, canResume: boolean): number {
	return canResume ? (madeTokens * recomputeMsPerToken) + (remainingTokens / speed) : (madeTokens + remainingTokens) / speed;
}
