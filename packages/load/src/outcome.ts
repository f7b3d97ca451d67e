/**
 * What became of a request, as its caller sees it.
 */

/** What is wrong with the system, whatever the load. */
export type Violation
	/** Ended as if whole, and was not. */
	= | 'not-whole'
	/** Text of another request's answer. */
		| 'foreign'
	/** Taken more than once by the ledger. */
		| 'doubled'
	/** Answered as taken, and not in the ledger. */
		| 'lost'
	/** Refused as not run, and in the ledger. */
		| 'untrue-refusal';

export type Outcome = {
	id: string;
	/**
	 * - `answered`: whole
	 * - `refused`: told that it did not run
	 * - `unknown`: told, or left to conclude, that it may have run
	 */
	kind: 'answered' | 'refused' | 'unknown';
	/** From the time at which it was due, in milliseconds. */
	latencyMs: number;
	/** To the first content of a stream, from the same time. */
	firstContentMs?: number;
	tokens: number;
	/** Status, or error code. */
	reason: string;
	violations: Violation[];
};
