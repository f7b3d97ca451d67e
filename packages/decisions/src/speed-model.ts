/**
 * Models the speed of one endpoint, separated by how long each component lasts.
 *
 * Load pattern: of 31 endpoints eight are permanently twice as fast as the others, any of them becomes three times slower for some seconds, and their
 * machines are disturbed for tenths of a second. A step begins every four seconds: with a single recent mean nothing is known about any endpoint when
 * its generations are assigned, and a disturbance looks like a slow machine.
 */
import type {EndpointSpeed} from './endpoint-speed.js';
import {Pace} from './pace.js';

/** Maximum number of complete runs remembered: more than an endpoint makes for one host in a slow episode. */
const maxRuns = 16;

/** Number of own runs from which they alone determine the persistent speed, so that a wrong assumption is dropped. */
const minOwnRuns = 8;

/** Number of own runs before the persistent speed is reported to others. */
const minReportedRuns = 3;

/** Time over which a reported transient slowdown fades, in milliseconds; it changes several times a second. */
const transientFadeMs = 600;

/** Maximum episodic or transient factor; higher ones make no difference to any decision. */
const maxFactor = 10;

/** Speed model of one endpoint. */
export class SpeedModel {
	readonly #pace = new Pace();
	/** Mean paces of complete runs, in milliseconds per unit, oldest first. */
	readonly #runs: number[] = [];
	/** Minimum of them, cached since it is read far more often than a run ends. */
	#bestRunMs = Number.POSITIVE_INFINITY;
	#assumedPersistentMs: number | undefined;
	#slowness = 1;
	#slownessAt = Number.NEGATIVE_INFINITY;

	/** Records the duration of a unit of work, in milliseconds. */
	recordUnit(unitMs: number): void {
		this.#pace.record(unitMs);
	}

	/** Records the mean duration of a unit over a complete run, in milliseconds. */
	recordRun(unitMs: number): void {
		this.#runs.push(unitMs);
		if (this.#runs.length > maxRuns) {
			this.#runs.shift();
		}

		this.#bestRunMs = Math.min(...this.#runs);
	}

	/** Adopts a persistent pace measured by others or earlier, in milliseconds per unit. */
	assumePersistent(unitMs: number): void {
		this.#assumedPersistentMs = unitMs;
	}

	/** Records the transient slowdown that the endpoint reports; normally 1. */
	recordTransient(slowness: number): void {
		this.#slowness = Math.min(maxFactor, Math.max(1, slowness));
		this.#slownessAt = performance.now();
	}

	/** Persistent time per unit without disturbances, in milliseconds: the best of the last runs, since no run is faster than its endpoint. */
	get persistentMs(): number | undefined {
		const bestMs = this.#runs.length >= minOwnRuns ? this.#bestRunMs : Math.min(this.#bestRunMs, this.#assumedPersistentMs ?? Number.POSITIVE_INFINITY);
		return Number.isFinite(bestMs) ? bestMs : undefined;
	}

	/** Persistent pace in milliseconds per unit, if this process has measured it well enough to report it. */
	get ownPersistentMs(): number | undefined {
		return this.#runs.length >= minReportedRuns ? this.#bestRunMs : undefined;
	}

	/** Recent mean time per unit, in milliseconds; undefined without enough recent measurements. */
	get recentMs(): number | undefined {
		return this.#pace.unitMs;
	}

	/** Transient slowdown factor at present; normally 1. */
	get transientFactor(): number {
		const ageMs = performance.now() - this.#slownessAt;
		return ageMs < transientFadeMs ? 1 + ((this.#slowness - 1) * (1 - (ageMs / transientFadeMs))) : 1;
	}

	get speed(): EndpointSpeed {
		const {persistentMs, recentMs, transientFactor} = this;
		const episodicFactor = persistentMs === undefined || recentMs === undefined ? 1 : Math.min(maxFactor, Math.max(1, recentMs / persistentMs));
		return {persistentMs, episodicFactor, transientFactor};
	}

	/** Expected time for the next units, in milliseconds; undefined while nothing is known. */
	get expectedMs(): number | undefined {
		const {persistentMs, episodicFactor, transientFactor} = this.speed;
		return persistentMs === undefined ? this.recentMs && this.recentMs * transientFactor : persistentMs * Math.max(episodicFactor, transientFactor);
	}
}
