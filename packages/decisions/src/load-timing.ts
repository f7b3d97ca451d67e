/**
 * Decides when the endpoints of a model load its newest weights.
 *
 * Load pattern: a trainer publishes a version and submits its next step within the same tenth of a second. The step has twice as many generations as the
 * model has slots, and an endpoint that loads takes nothing new for a second. With loads right after the publication, half of the slots that become free
 * stay empty while generations wait; with loads too late, the next step, which needs the version, finds no endpoint. So loads wait until no generation
 * waits any more, but not longer than a load takes, since more can't be gained, and early enough for all of them to finish before the next publication.
 */

/** A published version that endpoints have to load. */
export type PublishedVersion = {
	/** Time since the publication, in milliseconds. */
	sinceMs: number;
	/** Number of generations of the model that have not been started, on all hosts; undefined if it is not reported. */
	waitingGenerations: number | undefined;
	/** Number of endpoints that still have to load it. */
	endpoints: number;
	/** Number of endpoints that may load at the same time. */
	width: number;
	/** Duration of a load, in milliseconds. */
	loadMs: number;
	/** Recent time between publications of the model, in milliseconds; undefined after a single publication. */
	intervalMs: number | undefined;
};

/** Fraction of the interval between publications that is left free: publications come earlier now and then. */
const spareFraction = 0.15;

/**
 * Returns whether endpoints should load now.
 *
 * @param minDelayMs - time that the step needs to arrive and fill the slots
 */
export function shouldLoad(version: PublishedVersion, minDelayMs: number): boolean {
	const {sinceMs, waitingGenerations} = version;
	return sinceMs >= minDelayMs && (waitingGenerations === undefined || waitingGenerations <= 0 || sinceMs >= Math.min(minDelayMs + version.loadMs, findLatestMs(version)));
}

/** Returns the time after the publication from which loads would not finish before the next one, in milliseconds. */
function findLatestMs({endpoints, width, loadMs, intervalMs}: PublishedVersion): number {
	const waves = Math.ceil(endpoints / Math.max(1, width));
	return intervalMs === undefined ? 0 : (intervalMs * (1 - spareFraction)) - (waves * loadMs);
}
