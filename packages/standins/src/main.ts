/**
 * `wasabiusher-standins`: runs one stand-in per process, so that the whole system can be run by hand.
 */
import {loadSettings, runDaemon} from '@wasabiusher/daemon';
import {Log} from '@wasabiusher/shared';
import {standinSettingsSchema} from './settings.js';
import {createStandin} from './standin.js';

const settings = loadSettings('wasabiusher-standins', '0.1.0', standinSettingsSchema);
const log = new Log('standins', settings.logLevel);
await runDaemon(log, async () => {
	const standin = createStandin(settings);
	const origin = await standin.start(settings.listen);
	log.info('standin_started', {role: settings.role, origin});
	return {
		async drain() {
			await standin.stop();
		},
	};
});
