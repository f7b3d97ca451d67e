/**
 * The `wasabiusher-entry` daemon: one process per entry host.
 */
import {loadSettings, runDaemon} from '@wasabiusher/daemon';
import {Log} from '@wasabiusher/shared';
import {Entry} from './entry.js';
import {entrySettingsSchema} from './settings.js';

const settings = loadSettings('wasabiusher-entry', '0.1.0', entrySettingsSchema);
const log = new Log('entry', settings.logLevel);
await runDaemon(log, async () => {
	const entry = new Entry(settings, log);
	await entry.start();
	return entry;
});
