/**
 * Prevents load from being sent to remote addresses by mistake.
 */
import {isLoopback, SettingsError} from '@wasabiusher/daemon';

/**
 * Checks that all origins are loopback addresses, unless remote ones are allowed.
 *
 * @throws SettingsError naming the first remote origin
 */
export function checkOrigins(origins: readonly string[], allowRemote: boolean): void {
	const remote = origins.find(origin => !isLoopback(`${new URL(origin).hostname}:0`));
	if (remote !== undefined && !allowRemote) {
		throw new SettingsError('settings', `${remote} is not a loopback address; load is sent there only with --allow-remote`);
	}
}
