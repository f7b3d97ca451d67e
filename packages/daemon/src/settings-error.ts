/**
 * The error of bad usage.
 */
import {LayerError} from '@wasabiusher/shared';

/** A setting that is unknown or has a bad value; its message is one line that names the setting. */
export class SettingsError extends LayerError<'settings'> {
	override readonly name = 'SettingsError';
}
