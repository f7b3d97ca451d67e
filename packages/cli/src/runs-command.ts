/**
 * `wasabiusher runs`: reports refused and moved runs, and what texts waited for, from the logs of any number of hosts.
 */
import {z} from 'zod';
import {
	LogFileError, readLines, runEvents, RunStatistics, type Quantiles, type LineCounts, type RunsReport,
} from '@wasabiusher/logs';
import {defineCommand, jsonShape, logsSchema} from './command.js';
import {CliError} from './errors.js';
import {formatTable} from './layout.js';

/** Maximum number of hosts listed. */
const maxHosts = 12;

function formatWait([field, {p50, p90, p99}]: [string, Quantiles]): string[] {
	return [field, ...[p50, p90, p99].map(value => value === undefined ? '-' : String(value))];
}

function formatReport(report: RunsReport, {lines, skipped}: LineCounts): string {
	const {runs, refused, refusedLoading, texts, waits, moves, earlyMoves, failedCommits, hosts} = report;
	return [
		`${runs} runs, ${refused} refused, ${refusedLoading} of them by endpoints that loaded weights; ${texts} texts; ${lines} lines read, ${skipped} not understood`,
		`${moves} runs moved, ${earlyMoves} of them within the first five events of their texts; ${failedCommits} writes of results failed`,
		'',
		formatTable(['milliseconds', 'p50', 'p90', 'p99'], Object.entries(waits).map(wait => formatWait(wait))),
		'',
		formatTable(['host', 'texts'], hosts.slice(0, maxHosts).map(({host, texts: made}) => [host || '-', String(made)])),
	].join('\n');
}

export const runsCommand = defineCommand({
	summary: 'Shows who was refused, what texts waited for and which runs moved, from log files',
	schema: z.object({logs: logsSchema, ...jsonShape}),
	async run({logs}) {
		const statistics = new RunStatistics();
		const eventMarkers = runEvents.map(event => `event=${event} `);
		try {
			const count = await readLines(logs, line => {
				statistics.add(line);
			}, text => eventMarkers.some(marker => text.includes(marker)));
			const report = statistics.report();
			if (report.runs === 0) {
				throw new CliError('failed', `no run ended in ${count.lines} lines of ${logs.join(', ')}`);
			}

			return {json: {...report, ...count}, text: formatReport(report, count)};
		} catch (error) {
			if (error instanceof LogFileError) {
				throw new CliError('failed', error.message, {}, error);
			}

			throw error;
		}
	},
});
