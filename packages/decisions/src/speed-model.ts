/**
 * Learns how fast one endpoint works, apart by how long each part lasts.
 *
 * Load pattern: of 31 endpoints eight work twice as fast as the others for good, any of them turns three times slower for some seconds, and
 * their machines are disturbed for tenths of a second. A step begins every four seconds: by one mean of late nothing is known of any
 * endpoint just when its texts are dealt out, and a disturbance looks like a slow machine.
 */
import type {EndpointSpeed} from './endpoint-speed.js';
import {Pace} from './pace.js';

/** Whole runs remembered: more than an endpoint makes for one host in a slow spell. */
const maxRuns = 16;

/** Own runs from which on they alone tell the class; a wrong guess is forgotten with that. */
const minOwnRuns = 8;

/** Own runs before the class is told to others. */
const minReportedRuns = 3;

/** Time over which what an endpoint told of the present fades, in milliseconds; it changes several times a second. */
const transientFadeMs = 600;

/** Greatest factor of a spell or moment that counts: worse ones differ in nothing that is decided. */
const maxFactor = 10;

/** What is known of one endpoint's speed. */
export class SpeedModel {
	readonly #pace = new Pace();
	/** Mean paces of whole runs, the oldest first. */
	readonly #runs: number[] = [];
	/** The least of them; asked for far more often than a run ends. */
	#bestRunMs = Number.POSITIVE_INFINITY;
	#assumedPersistentMs: number | undefined;
	#slowness = 1;
	#slownessAt = Number.NEGATIVE_INFINITY;

	/** Learns how long a unit of work took, in milliseconds. */
	recordUnit(unitMs: number): void {
		this.#pace.record(unitMs);
	}

	/** Learns how long a unit took on average over a whole run, in milliseconds. */
	recordRun(unitMs: number): void {
		this.#runs.push(unitMs);
		if (this.#runs.length > maxRuns) {
			this.#runs.shift();
		}

		this.#bestRunMs = Math.min(...this.#runs);
	}

	/** Takes over a class that was measured by others or earlier, in milliseconds for a unit. */
	guessClass(unitMs: number): void {
		this.#assumedPersistentMs = unitMs;
	}

	/** Learns what the endpoint tells of this moment; 1 as usual. */
	recordMoment(slowness: number): void {
		this.#slowness = Math.min(maxFactor, Math.max(1, slowness));
		this.#slownessAt = performance.now();
	}

	/** Time for a unit when nothing is wrong, in milliseconds: the best of the last runs, since no run is faster than its endpoint. */
	get persistentMs(): number | undefined {
		const bestMs = this.#runs.length >= minOwnRuns ? this.#bestRunMs : Math.min(this.#bestRunMs, this.#assumedPersistentMs ?? Number.POSITIVE_INFINITY);
		return Number.isFinite(bestMs) ? bestMs : undefined;
	}

	/** The class, if this process has measured it well enough to tell others. */
	get ownClassMs(): number | undefined {
		return this.#runs.length >= minReportedRuns ? this.#bestRunMs : undefined;
	}

	/** Mean time for a unit of late, in milliseconds; undefined unless enough was measured lately. */
	get recentMs(): number | undefined {
		return this.#pace.unitMs;
	}

	/** Factor by which it is slower at this moment; 1 as usual. */
	get moment(): number {
		const ageMs = performance.now() - this.#slownessAt;
		return ageMs < transientFadeMs ? 1 + ((this.#slowness - 1) * (1 - (ageMs / transientFadeMs))) : 1;
	}

	get speed(): EndpointSpeed {
		const {persistentMs, recentMs, moment: transientFactor} = this;
		const episodicFactor = persistentMs === undefined || recentMs === undefined ? 1 : Math.min(maxFactor, Math.max(1, recentMs / persistentMs));
		return {classMs: persistentMs, spell: episodicFactor, transientFactor};
	}

	/** Expected time for the next units, in milliseconds; undefined while nothing is known. */
	get expectedMs(): number | undefined {
		const {classMs: persistentMs, spell: episodicFactor, transientFactor} = this.speed;
		return persistentMs === undefined ? this.recentMs && this.recentMs * transientFactor : persistentMs * Math.max(episodicFactor, transientFactor);
	}
}
