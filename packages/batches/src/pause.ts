/** Resolves after `ms` milliseconds. */
export async function pause(ms: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, ms);
	});
}
