/**
 * When the endpoints of a model load its newest weights.
 *
 * Load pattern: a trainer publishes a version and hands in its next step within the same tenth of a second. The step has twice as many texts as
 * the model has slots, and an endpoint that loads takes nothing new for a second. With loads right after the publication half of the slots that become
 * free stay empty while texts wait; with loads too late the step after it, which needs the version, finds no endpoint. So loads wait until
 * no text waits any more, but never longer than a load takes, since more than that can't be won, and than leaves time for all of them before the next
 * publication.
 */

/** What is known once a version has been published. */
export type PublishedVersion = {
	/** Time since the publication, in milliseconds. */
	sinceMs: number;
	/** Texts of the model that have not begun, at all hosts; undefined if nobody tells. */
	waiting: number | undefined;
	/** Endpoints that still must load it. */
	endpoints: number;
	/** Endpoints that may load at once. */
	width: number;
	/** Time that a load takes, in milliseconds. */
	loadMs: number;
	/** Time between publications of the model of late, in milliseconds; undefined if it was published once only. */
	intervalMs: number | undefined;
};

/** Part of the interval between publications that is left free: publications come earlier now and then. */
const spareFraction = 0.15;

/**
 * Whether endpoints should load now.
 *
 * @param minDelayMs - time that the step needs to come and fill the slots
 */
export function shouldLoad(version: PublishedVersion, minDelayMs: number): boolean {
	const {sinceMs, waiting} = version;
	return sinceMs >= minDelayMs && (waiting === undefined || waiting <= 0 || sinceMs >= Math.min(minDelayMs + version.loadMs, findLatestMs(version)));
}

/** Time from the publication after which loads would not be over before the next one, in milliseconds. */
function findLatestMs({endpoints, width, loadMs, intervalMs}: PublishedVersion): number {
	const waves = Math.ceil(endpoints / Math.max(1, width));
	return intervalMs === undefined ? 0 : (intervalMs * (1 - spareFraction)) - (waves * loadMs);
}
