/**
 * Confirms refusals with the store.
 *
 * Load pattern: a configuration adds a route or a key, and requests that use it reach a host before the change does. A refusal by the older
 * configuration would be final for the caller, so the store is polled once more for changes first.
 */

/**
 * Longest time for which a refusal waits for the store's confirmation, in milliseconds: short enough that the caller can still be served by
 * another host within its timeout.
 */
const confirmationTimeoutMs = 400;

/**
 * Decides by the local state, and refreshes that state and decides again before a refusal. Never rejects if `refresh` does not.
 *
 * @param refresh - reads changes from the store; resolves to false if the store did not answer
 * @returns the decision, or `unsure` if the refusal could not be confirmed in time
 */
export async function confirmRefusal<Decision extends {kind: string}>(decide: () => Decision, refresh: () => Promise<boolean>): Promise<Decision | {kind: 'unsure'}> {
	const decision = decide();
	if (decision.kind === 'granted' || decision.kind === 'unsure') {
		return decision;
	}

	const isConfirmed = await Promise.race([refresh(), resolveFalseAfter(confirmationTimeoutMs)]);
	return isConfirmed ? decide() : {kind: 'unsure'};
}

/** Resolves to false after the given time in milliseconds. */
async function resolveFalseAfter(ms: number): Promise<false> {
	return new Promise(resolve => {
		setTimeout(() => {
			resolve(false);
		}, ms);
	});
}
