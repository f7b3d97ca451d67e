/**
 * `wasabiusher-load` sends bounded load and checks the responses; `wasabiusher-load model` runs the simulated load patterns instead.
 */
import process from 'node:process';
import {loadSettings, SettingsError, usageStatus} from '@wasabiusher/daemon';
import {checkOrigins} from './loopback.js';
import {runModel} from './model/main.js';
import {createReport, formatReport, isTrue} from './report.js';
import {runLoad} from './run.js';
import {loadSettingsSchema} from './settings.js';

const program = 'wasabiusher-load';

/** Subcommands, by the first argument. */
const subprograms: Readonly<Record<string, () => Promise<void>>> = {
	async model() {
		// Removes the subcommand's name, so that the settings are parsed from the arguments after it.
		process.argv.splice(2, 1);
		runModel();
	},
};

async function sendLoad(): Promise<void> {
	const settings = loadSettings(program, '0.1.0', loadSettingsSchema);
	checkOrigins([...settings.entries, ...settings.ledgers], settings.allowRemote);
	const report = createReport(await runLoad(settings));
	process.stdout.write(`${settings.json ? JSON.stringify(report) : formatReport(report)}\n`);
	process.exitCode = isTrue(report) ? 0 : 1;
}

const name = process.argv[2] ?? '';
const start = Object.hasOwn(subprograms, name) ? subprograms[name]! : sendLoad;
try {
	await start();
} catch (error) {
	if (!(error instanceof SettingsError)) {
		throw error;
	}

	process.stderr.write(`${program}: ${error.message}\n`);
	process.exitCode = usageStatus;
}
