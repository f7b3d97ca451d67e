/**
 * Keeps load off addresses that it was not meant for.
 */
import {isLoopback, SettingsError} from '@wasabiusher/daemon';

/** Throws `SettingsError` unless all origins are on this machine or remote ones are allowed. */
export function checkOrigins(origins: readonly string[], allowRemote: boolean): void {
	const remote = origins.find(origin => !isLoopback(`${new URL(origin).hostname}:0`));
	if (remote !== undefined && !allowRemote) {
		throw new SettingsError('settings', `${remote} is not a loopback address; load is sent there only with --allow-remote`);
	}
}
