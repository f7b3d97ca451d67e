/**
 * Waiting for a state that nothing announces.
 */

/** How often it is looked at, in milliseconds. */
const pollIntervalMs = 20;

/** Resolves to whether the state holds, at the latest after the given time. */
export async function pollUntil(holds: () => boolean, timeoutMs: number): Promise<boolean> {
	const giveUpAt = performance.now() + timeoutMs;
	while (!holds() && performance.now() < giveUpAt) {
		// Each look waits for the one before.
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}

	return holds();
}
