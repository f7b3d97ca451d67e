/**
 * `wasabiusher burn`: reports the burn rates of the error budgets of the profiles' objectives.
 */
import {writeFile} from 'node:fs/promises';
import {z} from 'zod';
import {burnWindowNames} from '@wasabiusher/decisions';
import {formatBurnPage} from './burn-page.js';
import {
	budgetHours, buildBurnReport, readMetrics, windowLabels, type BurnReport,
} from './burn-report.js';
import {
	defineCommand, jsonShape, originsSchema, timeoutShape,
} from './command.js';
import {CliError} from './errors.js';
import {formatTable} from './layout.js';

export function formatRate(rate: number | undefined): string {
	return rate === undefined ? '-' : rate.toFixed(rate < 10 ? 2 : 1);
}

export function formatPercent(fraction: number | undefined): string {
	return fraction === undefined ? '-' : `${(fraction * 100).toFixed(1)}%`;
}

/** Formats the report for people. */
export function formatBurnReport({rows, missing, entries}: BurnReport): string {
	const table = formatTable(
		['PROFILE', 'OBJECTIVE', 'TARGET', ...burnWindowNames.map(window => `BURN ${windowLabels[window]}`), `BUDGET LEFT ${budgetHours}h`, 'ALERT', 'MISSING'],
		rows.map(row => [
			row.profile,
			row.objective,
			formatPercent(row.target),
			...burnWindowNames.map(window => formatRate(row.rates[window])),
			formatPercent(row.budgetLeft),
			row.alerts.join(' ') || '-',
			row.missing.join('; ') || '-',
		]),
	);
	const gaps = missing.map(({origin, reason}) => `no figures from ${origin}: ${reason}`);
	return [
		...gaps,
		...(rows.length === 0 ? [`no objectives at the ${entries} entries asked`] : [table]),
	].join('\n');
}

export const burnCommand = defineCommand({
	summary: 'Reports how fast error budgets burn; name all entries, so that none is missing',
	schema: z.object({
		metrics: originsSchema.describe('origins of the entries\' metrics, comma-separated'),
		html: z.string().min(1).optional().describe('write one self-contained page to this file'),
		...timeoutShape,
		...jsonShape,
	}),
	async run({metrics, html, timeoutMs}) {
		const report = buildBurnReport(await readMetrics(metrics, timeoutMs));
		if (report.missing.length === metrics.length) {
			throw new CliError('failed', formatBurnReport({...report, rows: []}));
		}

		if (html !== undefined) {
			await writeFile(html, formatBurnPage(report, Date.now()));
		}

		return {json: report, text: formatBurnReport(report)};
	},
});
