/**
 * The outcome of a request from its caller's point of view.
 */

/** Faults of the system that no load excuses. */
export type Violation
	/** Delivered as complete, but truncated, too long or not a completion. */
	= | 'not-whole'
	/** Contains text of another request's response. */
		| 'foreign'
	/** Recorded more than once by the ledger. */
		| 'doubled'
	/** Acknowledged, but not recorded by the ledger. */
		| 'lost'
	/** Refused as not run, but recorded by the ledger. */
		| 'untrue-refusal';

export type Outcome = {
	id: string;
	/**
	 * - `answered`: received a complete response
	 * - `refused`: rejected with the statement that it did not run
	 * - `unknown`: may have run, as an error response says or as no usable response leaves open
	 */
	kind: 'answered' | 'refused' | 'unknown';
	/** Time from when the request was due until its outcome, in milliseconds. */
	latencyMs: number;
	/** Time from when the request was due until the first content of a stream, in milliseconds. */
	firstContentMs?: number;
	tokens: number;
	/** HTTP status, problem kind or error code. */
	reason: string;
	violations: Violation[];
};
