/**
 * Limits of a link, with their defaults.
 */

export type LinkLimits = {
	/** Interval between pings, in milliseconds. */
	heartbeatMs: number;
	/** Number of heartbeat intervals without any received data after which a link counts as silent. */
	missedHeartbeats: number;
	/** Maximum number of unsent bytes for a peer that reads slowly. */
	maxBufferedBytes: number;
	/** Maximum wait for each message of the handshake, in milliseconds. */
	handshakeMs: number;
	/** Maximum wait for the peer when a link is ended gracefully, in milliseconds. */
	endMs: number;
	/** Initial backoff before a reconnect, in milliseconds; doubled up to `maxRedialMs`. */
	firstRedialMs: number;
	/** Maximum backoff before a reconnect without its jitter, in milliseconds. */
	maxRedialMs: number;
};

/**
 * - Heartbeat: a second is short compared to the deadlines of interactive calls, and a ping costs 29 bytes in each direction.
 * - Missed heartbeats: a single heartbeat may be late, three in a row are a failure; a silent link is replaced within 4 s.
 * - Buffered bytes: two messages of the maximum size may wait; the windows of the answers bound everything else.
 * - Handshake: a peer that needs 5 s for a message counts as failed.
 * - End: a peer that reads receives the unsent data in less than 2 s.
 * - Reconnects: a host that returns is in use within 3 s (the maximum backoff and its jitter).
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
