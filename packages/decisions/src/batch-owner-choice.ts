/**
 * Which process gets a trainer's next batch.
 *
 * Load pattern: a trainer hands each batch in at another entry host. Each host that runs one opens some fifty connections to the
 * engines, which have gone idle when the trainer comes back to it three batches later, and the hosts fill the same slots
 * without knowing of each other. So the process that ran the trainer's last batch gets the next one, whoever
 * accepts it, as long as it is alive, in time with its own work and not burdened with much more than others.
 */

/** What is known of a process that could own a batch. */
export type OwnerCandidate = {
	/** Time since its last heartbeat was heard, in milliseconds. */
	silentMs: number;
	/** How late its own timers were of late, in milliseconds. */
	lateMs: number;
	/** Open batches that it owns. */
	batches: number;
};

/** Longest silence of a process that is given a batch, in milliseconds: two heartbeats; a dead one would hold the batch up until it is replaced. */
const maxSilentMs = 900;

/** Lateness from which a process has more to do than it can, in milliseconds: an event of a text comes every 40. */
const maxLateMs = 40;

/** Open batches that a process may have beyond an even share: what one trainer commonly has open, twice. */
const spareBatches = 4;

/**
 * Whether a process that ran a trainer's last batch is given the next one.
 *
 * @param evenShare - open batches of all, over the processes
 */
export function shouldOwnNext({silentMs, lateMs, batches}: OwnerCandidate, evenShare: number): boolean {
	return silentMs <= maxSilentMs && lateMs <= maxLateMs && batches < evenShare + spareBatches;
}
