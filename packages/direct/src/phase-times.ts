/**
 * Measures the time of a sample by phase. The phases don't overlap, so they add up to the total time.
 *
 * They show why the last sample of a late step was slow: whether it waited for an endpoint, met an endpoint that loaded weights, or was long.
 */

/**
 * - `waited`: until an endpoint was available
 * - `refused`: until an endpoint refused the run
 * - `begun`: until the head of the first run's answer, including the processing of the prompt
 * - `resumed`: until the head of the answer of each run that resumes a text
 * - `made`: from event to event at a normal pace
 * - `stalled`: from event to event with a long pause, for example while weights are loaded
 * - `broken`: from the last event until a broken run was abandoned
 */
export const runPhases = ['waited', 'refused', 'begun', 'resumed', 'made', 'stalled', 'broken'] as const;

export type RunPhase = typeof runPhases[number];

/** Interval between two events above which it counts as stalled, in milliseconds: six times the usual 40 ms; a load takes 900 ms. */
const stallMs = 250;

/** The phase times of one sample. */
export class PhaseTimes {
	readonly #sums = new Map<RunPhase, number>();
	#markedAt = performance.now();

	/** Adds the time since the last mark to a phase. */
	mark(phase: RunPhase): void {
		const now = performance.now();
		this.#sums.set(phase, (this.#sums.get(phase) ?? 0) + now - this.#markedAt);
		this.#markedAt = now;
	}

	/** Adds the time since the last mark to `made`, or to `stalled` if it is long. */
	markEvent(): void {
		this.mark(performance.now() - this.#markedAt > stallMs ? 'stalled' : 'made');
	}

	/** The phase times as fields of a log line, in whole milliseconds; empty phases are omitted. */
	toLogFields(): Record<string, number> {
		return Object.fromEntries(runPhases.flatMap(phase => {
			const ms = Math.round(this.#sums.get(phase) ?? 0);
			return ms > 0 ? [[`${phase}Ms`, ms]] : [];
		}));
	}
}
