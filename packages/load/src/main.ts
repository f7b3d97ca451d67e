/**
 * `wasabiusher-load`: bounded load with a check of what callers received; `model` runs the experiments instead.
 */
import process from 'node:process';
import {loadSettings, SettingsError, usageStatus} from '@wasabiusher/daemon';
import {checkOrigins} from './loopback.js';
import {runModel} from './model/main.js';
import {createReport, formatReport, isTrue} from './report.js';
import {runLoad} from './run.js';
import {loadSettingsSchema} from './settings.js';

const program = 'wasabiusher-load';

/** The other programs of this one, by the first argument. */
const subprograms: Readonly<Record<string, () => Promise<void>>> = {
	async model() {
		// The model reads what follows its name.
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
