/**
 * How trainers spend their time: kept waiting by a pull with nothing to hand over, or busy.
 */
import type {ObjectiveMetrics} from './objective-metrics.js';
import type {StepRequest} from './steps-request.js';

/** A trainer that was busy for so long without a pull has ended, in milliseconds. */
const forgetMs = 600_000;

type Spell = {profile: string; isIdle: boolean; since: number; busySince: number};

/** Counts the time of all trainers of a process for the objective `trainerBusy`, in milliseconds. */
export class TrainerTime {
	readonly #objectives: Pick<ObjectiveMetrics, 'record'> | undefined;
	readonly #spells = new Map<string, Spell>();

	/** @param objectives - where the time is counted; nowhere if there is none */
	constructor(objectives?: Pick<ObjectiveMetrics, 'record'>) {
		this.#objectives = objectives;
	}

	/** A trainer's pull begins or ends to wait; before its first wait nothing is known of the trainer. */
	note({trainer, profileName}: StepRequest, isIdle: boolean): void {
		const now = performance.now();
		const key = `${trainer}/${profileName}`;
		const spell = this.#spells.get(key);
		if (spell) {
			this.#count(spell, now);
		}

		this.#spells.set(key, {
			profile: profileName, isIdle, since: now, busySince: now,
		});
	}

	/** A trainer went away while it waited: what it does now is not known. */
	forget({trainer, profileName}: StepRequest): void {
		const key = `${trainer}/${profileName}`;
		const spell = this.#spells.get(key);
		if (spell) {
			this.#count(spell, performance.now());
			this.#spells.delete(key);
		}
	}

	/** Counts what has passed of the spells under way, so that a long wait is seen while it lasts. */
	tick(): void {
		const now = performance.now();
		for (const [key, spell] of this.#spells) {
			this.#count(spell, now);
			if (!spell.isIdle && now - spell.busySince > forgetMs) {
				this.#spells.delete(key);
			}
		}
	}

	#count(spell: Spell, now: number): void {
		this.#objectives?.record(spell.profile, 'trainerBusy', !spell.isIdle, now - spell.since);
		spell.since = now;
	}
}
