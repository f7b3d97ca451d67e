/**
 * The `wasabiusher-agent` daemon: one process per endpoint.
 */
import {loadSettings, runDaemon} from '@wasabiusher/daemon';
import {Log} from '@wasabiusher/shared';
import {Agent} from './agent.js';
import {agentSettingsSchema} from './settings.js';

const settings = loadSettings('wasabiusher-agent', '0.1.0', agentSettingsSchema);
const log = new Log('agent', settings.logLevel);
await runDaemon(log, async () => {
	const agent = new Agent(settings, log);
	await agent.start();
	return agent;
});
