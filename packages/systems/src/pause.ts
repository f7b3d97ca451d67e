/** Waits for `ms` milliseconds, without keeping the process alive. */
export async function pause(ms: number): Promise<undefined> {
	return new Promise(resolve => {
		setTimeout(resolve, ms, undefined).unref();
	});
}
