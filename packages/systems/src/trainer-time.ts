/**
 * Measures how trainers spend their time: idle, in a pull with nothing to deliver, or busy.
 */
import type {ObjectiveMetrics} from './objective-metrics.js';
import type {StepRequest} from './steps-request.js';

/** Busy time without a pull after which a trainer is treated as ended, in milliseconds. */
const endedAfterMs = 600_000;

type TimeInterval = {profile: string; isIdle: boolean; since: number; busySince: number};

/** Counts the time of all trainers of a process for the objective `trainerBusy`, in milliseconds. */
export class TrainerTime {
	readonly #objectives: Pick<ObjectiveMetrics, 'record'> | undefined;
	readonly #intervals = new Map<string, TimeInterval>();

	/** @param objectives - where the time is counted; not counted if undefined */
	constructor(objectives?: Pick<ObjectiveMetrics, 'record'>) {
		this.#objectives = objectives;
	}

	/** Records that a trainer's pull starts or stops waiting; a trainer is not counted before its first wait. */
	record({trainer, profileName}: StepRequest, isIdle: boolean): void {
		const now = performance.now();
		const key = `${trainer}/${profileName}`;
		const interval = this.#intervals.get(key);
		if (interval) {
			this.#count(interval, now);
		}

		this.#intervals.set(key, {
			profile: profileName, isIdle, since: now, busySince: now,
		});
	}

	/** Stops counting a trainer that disconnected while it waited, since its state is then unknown. */
	forget({trainer, profileName}: StepRequest): void {
		const key = `${trainer}/${profileName}`;
		const interval = this.#intervals.get(key);
		if (interval) {
			this.#count(interval, performance.now());
			this.#intervals.delete(key);
		}
	}

	/** Counts the elapsed part of the current intervals, so that a long wait shows in the metrics while it lasts. */
	tick(): void {
		const now = performance.now();
		for (const [key, interval] of this.#intervals) {
			this.#count(interval, now);
			if (!interval.isIdle && now - interval.busySince > endedAfterMs) {
				this.#intervals.delete(key);
			}
		}
	}

	#count(interval: TimeInterval, now: number): void {
		this.#objectives?.record(interval.profile, 'trainerBusy', !interval.isIdle, now - interval.since);
		interval.since = now;
	}
}
