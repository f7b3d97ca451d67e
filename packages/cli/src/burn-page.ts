/**
 * Formats the burn report as one self-contained HTML page.
 */
import {burnAlerts, burnWindowNames, type BurnWindow} from '@wasabiusher/decisions';
import {
	budgetHours, windowLabels, type BurnReport, type BurnRow,
} from './burn-report.js';
import {formatTime} from './layout.js';

/** Burn rate at the full width of a bar, slightly above the threshold of the most urgent alert. */
const maxBarRate = 20;

const style = `
body { font: 16px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; color: #222; background: #fff; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .4rem .8rem .4rem 0; border-bottom: 1px solid #ddd; vertical-align: top; }
td.figure { font-variant-numeric: tabular-nums; white-space: nowrap; }
meter { width: 6rem; height: .9rem; display: block; }
.alert { color: #a40000; font-weight: 600; }
.gap { background: #fff4d6; padding: .5rem .8rem; }
`;

const entities: ReadonlyMap<string, string> = new Map([['&', '&amp;'], ['<', '&lt;'], ['>', '&gt;'], ['"', '&quot;']]);

function escapeHtml(text: string): string {
	return text.replaceAll(/[&<>"]/gv, character => entities.get(character)!);
}

function formatRateCell(rate: number | undefined, window: BurnWindow): string {
	if (rate === undefined) {
		return '<td class="figure">no events</td>';
	}

	const alert = burnAlerts.find(({long, short}) => long === window || short === window)!;
	const label = `${rate.toFixed(2)} times the budget's rate over ${windowLabels[window]}`;
	return `<td class="figure">${rate.toFixed(2)}<meter min="0" max="${maxBarRate}" low="1" high="${alert.rate}" optimum="0" value="${Math.min(rate, maxBarRate)}" title="${label}"></meter></td>`;
}

function formatBudgetCell(budgetLeft: number | undefined): string {
	if (budgetLeft === undefined) {
		return '<td class="figure">no events</td>';
	}

	return `<td class="figure">${(budgetLeft * 100).toFixed(1)}%<meter min="0" max="1" low="0.25" high="0.5" optimum="1" value="${Math.max(0, budgetLeft)}"></meter></td>`;
}

function formatRow(row: BurnRow): string {
	return [
		'<tr>',
		`<td>${escapeHtml(row.profile)}</td>`,
		`<td>${escapeHtml(row.objective)}</td>`,
		`<td class="figure">${(row.target * 100).toFixed(2)}%</td>`,
		...burnWindowNames.map(window => formatRateCell(row.rates[window], window)),
		formatBudgetCell(row.budgetLeft),
		`<td class="alert">${row.alerts.join(', ')}</td>`,
		`<td>${escapeHtml(row.missing.join('; '))}</td>`,
		'</tr>',
	].join('');
}

/**
 * Formats the page.
 *
 * @param now - time at which the metrics were read, in milliseconds since the epoch
 */
export function formatBurnPage({rows, missing, entries}: BurnReport, now: number): string {
	const headings = ['Profile', 'Objective', 'Target', ...burnWindowNames.map(window => `Burn ${windowLabels[window]}`), `Budget left of ${budgetHours} h`, 'Alert', 'Missing'];
	const gaps = missing.map(({origin, reason}) => `<p class="gap">No figures from ${escapeHtml(origin)}: ${escapeHtml(reason)}</p>`);
	const alerts = burnAlerts.map(({name, long, short, rate}) => `<li><b>${name}</b>: at least ${rate} over ${windowLabels[long]} and over ${windowLabels[short]}</li>`);
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width"><title>Service-level burn</title>',
		`<style>${style}</style></head><body>`,
		'<h1>Service-level burn</h1>',
		`<p>${formatTime(now)}, ${entries - missing.length} of ${entries} entries. A burn of 1 spends exactly the budget; a bar is full at ${maxBarRate}.</p>`,
		...gaps,
		`<table><thead><tr>${headings.map(heading => `<th>${heading}</th>`).join('')}</tr></thead><tbody>`,
		...rows.map(row => formatRow(row)),
		'</tbody></table>',
		rows.length === 0 ? '<p class="gap">No objectives at the entries asked.</p>' : '',
		`<h2>Alerts</h2><ul>${alerts.join('')}</ul>`,
		'</body></html>',
		'',
	].join('\n');
}
