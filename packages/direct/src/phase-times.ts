/**
 * Where the time of a sample's text goes: each moment counts for one phase, so that the phases add up to the whole.
 *
 * Without it a step that ended late tells only that its last text was slow, not whether it waited for an endpoint, met weights
 * that were being loaded, or was long.
 */

/**
 * - `waited`: no endpoint could be asked
 * - `refused`: an endpoint was asked and did not run it
 * - `begun`: until the head of the first run's answer, with the reading of the prompt
 * - `resumed`: the same for each later run
 * - `made`: from event to event at a usual pace
 * - `stalled`: from event to event with a long pause, as while weights are loaded
 * - `broken`: from the last event until a broken run was given up
 */
export const runPhases = ['waited', 'refused', 'begun', 'resumed', 'made', 'stalled', 'broken'] as const;

export type RunPhase = typeof runPhases[number];

/** Time between two events from which it counts as stalled, in milliseconds: six times the usual 40 ms; a load takes 900 ms. */
const stallMs = 250;

/** The times of one sample. */
export class PhaseTimes {
	readonly #sums = new Map<RunPhase, number>();
	#markedAt = performance.now();

	/** Counts the time since the last mark for a phase. */
	mark(phase: RunPhase): void {
		const now = performance.now();
		this.#sums.set(phase, (this.#sums.get(phase) ?? 0) + now - this.#markedAt);
		this.#markedAt = now;
	}

	/** Counts the time since the last mark as that of an event. */
	markEvent(): void {
		this.mark(performance.now() - this.#markedAt > stallMs ? 'stalled' : 'made');
	}

	/** The times as values of a log line, in whole milliseconds; phases without any are left out. */
	toLogFields(): Record<string, number> {
		return Object.fromEntries(runPhases.flatMap(phase => {
			const ms = Math.round(this.#sums.get(phase) ?? 0);
			return ms > 0 ? [[`${phase}Ms`, ms]] : [];
		}));
	}
}
