/**
 * Metrics of steps: how long trainers wait, how stale their samples are, and how many samples were redrawn.
 */
import {Counter, Histogram, type Registry} from 'prom-client';
import type {ObjectiveMetrics} from './objective-metrics.js';
import type {StepRequest} from './steps-request.js';
import {TrainerTime} from './trainer-time.js';

/** Why a sample was redrawn. */
export type RedrawReason = 'stale' | 'failed';

/** Metrics of all steps of a process. */
export class StepMetrics {
	/** Time for which a pull waited with nothing to deliver, in seconds; one observation per wait. */
	readonly idle: Histogram;
	/** Number of versions that samples were behind the trainer's version at delivery. */
	readonly staleness: Histogram;
	readonly delivered: Counter;
	readonly redrawn: Counter<'reason'>;
	/** Samples delivered without the score that their profile requires. */
	readonly unscored: Counter;
	readonly trainerTime: TrainerTime;
	readonly #objectives: Pick<ObjectiveMetrics, 'record'> | undefined;

	/**
	 * @param registry - where the metrics are published; undefined in tests that do not read them
	 * @param objectives - where the events for the burn report are counted
	 */
	constructor(registry?: Registry, objectives?: Pick<ObjectiveMetrics, 'record'>) {
		this.#objectives = objectives;
		this.trainerTime = new TrainerTime(objectives);
		const registers = registry ? [registry] : [];
		this.idle = new Histogram({
			name: 'wasabiusher_trainer_idle_seconds',
			help: 'Time for which a trainer\'s pull waited with nothing to hand over',
			buckets: [0.01, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 180],
			registers,
		});
		this.staleness = new Histogram({
			name: 'wasabiusher_sample_staleness_versions',
			help: 'Versions that the oldest part of a sample lay behind the trainer\'s version at hand-over',
			buckets: [0, 1, 2, 3, 5, 10],
			registers,
		});
		this.delivered = new Counter({name: 'wasabiusher_samples_delivered_total', help: 'Samples handed over', registers});
		this.redrawn = new Counter({
			name: 'wasabiusher_samples_redrawn_total', help: 'Samples drawn again', labelNames: ['reason'], registers,
		});
		this.unscored = new Counter({name: 'wasabiusher_samples_unscored_total', help: 'Samples handed over without the score asked for', registers});
	}

	/** Records a delivered sample. */
	recordDelivered({profileName}: StepRequest, versionsBehind: number): void {
		this.delivered.inc();
		this.staleness.observe(Math.max(0, versionsBehind));
		this.#objectives?.record(profileName, 'fresh', true);
	}

	/** Records a redrawn sample; a finished sample that was discarded as stale counts against the objective. */
	recordRedrawn({profileName}: StepRequest, reason: RedrawReason, wasFinished = false): void {
		this.redrawn.inc({reason});
		if (reason === 'stale' && wasFinished) {
			this.#objectives?.record(profileName, 'fresh', false);
		}
	}
}
