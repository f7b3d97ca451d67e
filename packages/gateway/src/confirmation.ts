/**
 * Refusals that the store has confirmed.
 *
 * Load pattern: a configuration adds a route or a key, and requests for it arrive at a host before the news does. Refused by what is known, they would be
 * given up for good; asked once more, the store tells the news, or that there is none.
 */

/**
 * Longest wait of a request that would be refused until the store has confirmed what is known, in milliseconds: the caller can still be served
 * elsewhere in its time.
 */
const confirmMs = 400;

/**
 * Decides by what is known, and before a refusal once more by what the store says now. Never rejects if `refresh` does not.
 *
 * @param refresh - asks the store for news; false if it could not tell
 */
export async function confirmRefusal<Decision extends {kind: string}>(decide: () => Decision, refresh: () => Promise<boolean>): Promise<Decision | {kind: 'unsure'}> {
	const decision = decide();
	if (decision.kind === 'granted' || decision.kind === 'unsure') {
		return decision;
	}

	const isConfirmed = await Promise.race([refresh(), waitForNothing(confirmMs)]);
	return isConfirmed ? decide() : {kind: 'unsure'};
}

/** Resolves to false after a time. */
async function waitForNothing(ms: number): Promise<false> {
	return new Promise(resolve => {
		setTimeout(() => {
			resolve(false);
		}, ms);
	});
}
