/** Resolves after a time; through the global timer, which tests pause and advance. */
export async function wait(timeMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, timeMs);
	});
}
