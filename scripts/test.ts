/**
 * `npm test`: runs the tests in parallel, then those that start processes of the system one at a time. The last line is `N passed, N failed` for both.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

const configurations = ['.mocharc.json', '.mocharc.processes.json'];

const totalPattern = /^(?<passed>\d+) passed, (?<failed>\d+) failed$/v;

type Totals = {passed: number; failed: number; isComplete: boolean};

/** Runs mocha with a configuration, and prints what it prints except its totals. */
async function runMocha(configuration: string): Promise<Totals> {
	const mocha = spawn(process.execPath, ['node_modules/mocha/bin/mocha.js', '--config', configuration, ...process.argv.slice(2)], {stdio: ['ignore', 'pipe', 'inherit']});
	const closed = once(mocha, 'close');
	let totals: RegExpExecArray | undefined;
	for await (const line of createInterface({input: mocha.stdout})) {
		const found = totalPattern.exec(line);
		totals = found ?? totals;
		if (!found) {
			console.log(line);
		}
	}

	await closed;
	return {passed: Number(totals?.groups?.passed ?? 0), failed: Number(totals?.groups?.failed ?? 0), isComplete: totals !== undefined && mocha.exitCode === Number(totals.groups?.failed)};
}

const runs: Totals[] = [];
for (const configuration of configurations) {
	// eslint-disable-next-line no-await-in-loop
	runs.push(await runMocha(configuration));
}

const passed = runs.reduce((sum, run) => sum + run.passed, 0);
const failed = runs.reduce((sum, run) => sum + run.failed, 0);
process.exitCode = failed > 0 || runs.some(({isComplete}) => !isComplete) ? 1 : 0;
console.log(`${passed} passed, ${failed} failed`);
