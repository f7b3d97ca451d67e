/**
 * Decides whether a host should get new work.
 *
 * Load pattern: hosts are restarted one after the other while a request that crashes endpoints comes again and again. A host that accepts work before it has
 * read what other hosts know of such requests sends the next one on. A part of the store may be down at the start, so it does not wait for that for ever.
 */

/** Longest time for which a starting host waits for the rows about poison requests, in milliseconds: several attempts to read a table. */
const maxCrashRowsWaitMs = 2000;

/**
 * Age of the configuration above which a host is not ready, in milliseconds, so that new work goes to a host that reaches the store. Covers one
 * regular poll and one lost answer.
 */
const maxConfigurationAgeMs = 3000;

/** What the readiness of a host depends on. */
export type HostState = {
	/** Whether the configuration, the registrations and the batches were read. */
	hasSynced: boolean;
	/** Whether the rows about poison requests were read. */
	hasCrashRows: boolean;
	/** Time since the start, and since the store last answered about the configuration, in milliseconds. */
	sinceStartMs: number;
	configurationAgeMs: number;
	isDraining: boolean;
};

/** Whether new work should come to the host. */
export function isReadyForWork({hasSynced, hasCrashRows, sinceStartMs, configurationAgeMs, isDraining}: HostState): boolean {
	return hasSynced && (hasCrashRows || sinceStartMs > maxCrashRowsWaitMs) && !isDraining && configurationAgeMs < maxConfigurationAgeMs;
}
