/**
 * Limits of a link, with their defaults.
 */

export type LinkLimits = {
	/** How often a ping is sent, in milliseconds. */
	heartbeatMs: number;
	/** Heartbeats without any sign of life after which a link counts as silent. */
	missedHeartbeats: number;
	/** Most bytes that may wait for a peer that reads slowly. */
	maxBufferedBytes: number;
	/** Longest handshake, in milliseconds. */
	handshakeMs: number;
	/** Longest wait for the other end when a link is ended in order, in milliseconds. */
	endMs: number;
	/** First wait before dialling again, in milliseconds; doubled up to `maxRedialMs`. */
	firstRedialMs: number;
	/** Greatest wait before dialling again, in milliseconds. */
	maxRedialMs: number;
};

/**
 * - A heartbeat each second is small beside the deadlines of interactive calls and costs 29 bytes each way.
 * - One heartbeat may be late, three are not; a silent link is replaced within 4 s.
 * - Two of the greatest messages may wait; the windows of the answers bound what follows them.
 * - A peer that needs 5 s for three messages is as good as gone.
 * - What waits for a peer that reads is read in less than 2 s.
 * - A host that comes back is in use within 3 s (the greatest wait and its jitter).
 */
export const defaultLinkLimits: Readonly<LinkLimits> = {
	heartbeatMs: 1000,
	missedHeartbeats: 3,
	maxBufferedBytes: 18 * 1024 * 1024,
	handshakeMs: 5000,
	endMs: 2000,
	firstRedialMs: 100,
	maxRedialMs: 2000,
};
