/**
 * Counts the good and bad events of the last hours for each profile's objectives, which the burn report is computed from.
 */
import {Gauge, type Registry} from 'prom-client';
import {
	burnWindowNames, ObjectiveCounts, type BurnWindow,
} from '@wasabiusher/decisions';
import type {Profile} from '@wasabiusher/shared';

export type Objective = keyof Profile['objective'];

type Row = {profile: string; objective: Objective; target: number; counts: ObjectiveCounts};

/** Counts events and exposes them as metrics; events of profiles without the objective are ignored. */
export class ObjectiveMetrics {
	readonly #profiles: () => Readonly<Record<string, Profile>>;
	readonly #counts = new Map<string, ObjectiveCounts>();

	/** @param profiles - returns the profiles in force, by name */
	constructor(registry: Registry, profiles: () => Readonly<Record<string, Profile>>) {
		this.#profiles = profiles;
		this.#register(registry);
	}

	/**
	 * Counts an event.
	 *
	 * @param weight - number of events, for example milliseconds of a trainer's time
	 */
	record(profile: string, objective: Objective, isGood: boolean, weight = 1): void {
		if (this.#profiles()[profile]?.objective[objective] !== undefined) {
			this.#findCounts(profile, objective).record(isGood, performance.now(), weight);
		}
	}

	#register(registry: Registry): void {
		const registers: Registry[] = [];
		const rows = () => this.#list();
		registry.registerMetric(new Gauge({
			name: 'wasabiusher_objective_target',
			help: 'Fraction of events that must be good',
			labelNames: ['profile', 'objective'],
			registers,
			collect() {
				this.reset();
				for (const {profile, objective, target} of rows()) {
					this.set({profile, objective}, target);
				}
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'wasabiusher_objective_events',
			help: 'Events of a window by result; for trainerBusy, milliseconds of trainers\' time',
			labelNames: ['profile', 'objective', 'window', 'result'],
			registers,
			collect() {
				this.reset();
				for (const row of rows()) {
					for (const window of burnWindowNames) {
						setEvents(this, row, window);
					}
				}
			},
		}));
		registry.registerMetric(new Gauge({
			name: 'wasabiusher_objective_covered_seconds',
			help: 'How much of a window was observed since the start',
			labelNames: ['profile', 'objective', 'window'],
			registers,
			collect() {
				this.reset();
				for (const {profile, objective, counts} of rows()) {
					for (const window of burnWindowNames) {
						this.set({profile, objective, window}, counts.countOver(window, performance.now()).coveredMs / 1000);
					}
				}
			},
		}));
	}

	/** Returns one row for each objective in force, including objectives without events. */
	#list(): Row[] {
		return Object.entries(this.#profiles()).flatMap(([profile, {objective: objectives}]) => listTargets(objectives)
			.map(([objective, target]) => ({
				profile, objective, target, counts: this.#findCounts(profile, objective),
			})));
	}

	#findCounts(profile: string, objective: Objective): ObjectiveCounts {
		const key = `${profile} ${objective}`;
		const known = this.#counts.get(key);
		if (known) {
			return known;
		}

		const fresh = new ObjectiveCounts(performance.now());
		this.#counts.set(key, fresh);
		return fresh;
	}
}

function listTargets({answeredInTime, trainerBusy, fresh}: Profile['objective']): Array<[Objective, number]> {
	const targets: Array<[Objective, number | undefined]> = [['answeredInTime', answeredInTime], ['trainerBusy', trainerBusy], ['fresh', fresh]];
	return targets.filter((pair): pair is [Objective, number] => pair[1] !== undefined);
}

function setEvents(gauge: Gauge<'profile' | 'objective' | 'window' | 'result'>, {profile, objective, counts}: Row, window: BurnWindow): void {
	const {good, total} = counts.countOver(window, performance.now());
	gauge.set({
		profile, objective, window, result: 'good',
	}, good);
	gauge.set({
		profile, objective, window, result: 'bad',
	}, total - good);
}
