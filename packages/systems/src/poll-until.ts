/**
 * Polls for a state whose change is not signalled by an event.
 */

/** Polling interval, in milliseconds. */
const pollIntervalMs = 20;

/** Waits until `holds` returns true; resolves to its last result, at the latest after `timeoutMs` milliseconds. */
export async function pollUntil(holds: () => boolean, timeoutMs: number): Promise<boolean> {
	const giveUpAt = performance.now() + timeoutMs;
	while (!holds() && performance.now() < giveUpAt) {
		// Each poll follows the previous one.
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}

	return holds();
}
