/**
 * `wasabiusher steps`: reports what the steps of trainers waited for, from the logs of any number of hosts.
 */
import {z} from 'zod';
import {
	chainLinks, LogFileError, plotSlots, plotSteps, readLines, reportSteps, stepEvents, StepHistories, type LineCounts, type ReportedStep, type StepsReport,
	type TrainerSummary,
} from '@wasabiusher/logs';
import {defineCommand, jsonShape, logsSchema} from './command.js';
import {CliError} from './errors.js';
import {formatTable} from './layout.js';

function formatSeconds(ms: number | undefined): string {
	return ms === undefined ? '-' : (ms / 1000).toFixed(2);
}

function formatStep(from: number, {trainer, step, askedAt, owners, boundMs, wholeMs, endedMs, chain}: ReportedStep): string[] {
	const times = [askedAt - from, boundMs, wholeMs, endedMs].map(ms => formatSeconds(ms));
	const chainCells = chain ? [chain.endpoint, `${chain.events - chain.kept}+${chain.kept}`, String(chain.runs)] : ['-', '-', '-'];
	return [
		trainer,
		String(step),
		...times,
		String(owners),
		...chainCells,
		...chainLinks.map(link => formatSeconds(chain?.links[link])),
	];
}

function formatTrainer({trainer, steps, unfinished, meanWholeMs, meanBoundMs, lostMs, links}: TrainerSummary): string[] {
	return [
		trainer,
		String(steps),
		String(unfinished),
		...[meanWholeMs, meanBoundMs, lostMs].map(ms => formatSeconds(ms)),
		...chainLinks.map(link => formatSeconds(links.get(link))),
	];
}

/** Formats the report for people, with all times in seconds. */
function formatReport(report: StepsReport, {lines, skipped}: LineCounts): string {
	const {from, to, bestPaceMs, steps, trainers, slots, slotStepMs, loads} = report;
	return [
		`${steps.length} steps, ${loads} loads of weights; ${lines} lines read, ${skipped} not understood; fastest pace ${bestPaceMs?.toFixed(1) ?? '-'} ms an event`,
		'',
		'the sample that each step was whole with (events: made + kept); seconds',
		formatTable(['trainer', 'step', 'asked', 'bound', 'whole', 'ended', 'owners', 'endpoint', 'events', 'runs', ...chainLinks], steps.map(step => formatStep(from, step))),
		'',
		'by trainer: means, and the time lost to the bound over all steps; seconds',
		formatTable(['trainer', 'steps', 'unfinished', 'whole', 'bound', 'lost', ...chainLinks], trainers.map(trainer => formatTrainer(trainer))),
		'',
		'steps: = least possible time, # beyond it, . until the trainer ended it',
		...plotSteps(steps, from, to),
		'',
		`slots in use, ${slotStepMs} ms a character`,
		...plotSlots(slots),
	].join('\n');
}

export const stepsCommand = defineCommand({
	summary: 'Shows what the steps of trainers waited for, from log files',
	schema: z.object({
		logs: logsSchema,
		...jsonShape,
	}),
	async run({logs}) {
		const histories = new StepHistories();
		const eventMarkers = stepEvents.map(event => `event=${event} `);
		try {
			const count = await readLines(logs, line => {
				histories.add(line);
			}, text => eventMarkers.some(marker => text.includes(marker)));
			const report = reportSteps(histories);
			if (report.steps.length === 0) {
				throw new CliError('failed', `no step was begun in ${count.lines} lines of ${logs.join(', ')}`);
			}

			return {json: {...report, trainers: report.trainers.map(sum => ({...sum, links: Object.fromEntries(sum.links)})), ...count}, text: formatReport(report, count)};
		} catch (error) {
			if (error instanceof LogFileError) {
				throw new CliError('failed', error.message, {}, error);
			}

			throw error;
		}
	},
});
