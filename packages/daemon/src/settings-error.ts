/**
 * The error of invalid settings.
 */
import {LayerError} from '@wasabiusher/shared';

/** An unknown setting or an invalid value; the message is one line that names the setting. */
export class SettingsError extends LayerError<'settings'> {
	override readonly name = 'SettingsError';
}
