/** Resolves after `timeMs` milliseconds. Uses the global timer, which tests replace by a fake clock. */
export async function wait(timeMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeMs);
	});
}
