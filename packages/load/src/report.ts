/**
 * Summarizes the outcomes of a load run.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Outcome} from './outcome.js';
import type {LoadResult} from './run.js';

/** Highest latency that the histogram tracks, in microseconds (one hour). */
const maxLatencyUs = 3_600_000_000;

const percentiles = [50, 90, 99, 99.9] as const;

export type Latency = {p50: number; p90: number; p99: number; p999: number; max: number};

export type LoadReport = {
	sent: number;
	notSent: number;
	answered: number;
	refused: number;
	unknown: number;
	/** Answered requests per second. */
	answeredPerSecond: number;
	tokensPerSecond: number;
	/** Latency of answered requests, in milliseconds. */
	latency?: Latency;
	/** Time to the first content of answered streams, in milliseconds. */
	firstContent?: Latency;
	/** Number of requests that were not answered, by reason. */
	reasons: Record<string, number>;
	violations: Record<string, number>;
};

function measure(valuesMs: readonly number[]): Latency | undefined {
	if (valuesMs.length === 0) {
		return undefined;
	}

	const histogram: Histogram = build({highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 3});
	for (const value of valuesMs) {
		histogram.recordValue(Math.max(1, Math.round(value * 1000)));
	}

	const [p50, p90, p99, p999] = percentiles.map(percentile => histogram.getValueAtPercentile(percentile) / 1000);
	return {
		p50: p50!, p90: p90!, p99: p99!, p999: p999!, max: histogram.maxValue / 1000,
	};
}

function countBy(keys: readonly string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const key of keys) {
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

function ofKind(outcomes: readonly Outcome[], kind: Outcome['kind']): Outcome[] {
	return outcomes.filter(outcome => outcome.kind === kind);
}

export function createReport({outcomes, notSent, elapsedMs}: LoadResult): LoadReport {
	const answered = ofKind(outcomes, 'answered');
	const firstContents = answered.map(({firstContentMs}) => firstContentMs).filter(value => value !== undefined);
	return {
		sent: outcomes.length,
		notSent,
		answered: answered.length,
		refused: ofKind(outcomes, 'refused').length,
		unknown: ofKind(outcomes, 'unknown').length,
		answeredPerSecond: answered.length * 1000 / elapsedMs,
		tokensPerSecond: answered.reduce((sum, {tokens}) => sum + tokens, 0) * 1000 / elapsedMs,
		latency: measure(answered.map(({latencyMs}) => latencyMs)),
		firstContent: measure(firstContents),
		reasons: countBy(outcomes.filter(({kind}) => kind !== 'answered').map(({reason}) => reason)),
		violations: countBy(outcomes.flatMap(({violations}) => violations)),
	};
}

/** Whether the run had no violations. */
export function isTrue({violations}: LoadReport): boolean {
	return Object.keys(violations).length === 0;
}

function formatLatency(name: string, latency: Latency | undefined): string[] {
	if (!latency) {
		return [];
	}

	const values = Object.entries(latency).map(([percentile, value]) => `${percentile} ${value.toFixed(2)}`);
	return [`${name}, ms: ${values.join('  ')}`];
}

function formatCounts(name: string, counts: Readonly<Record<string, number>>): string[] {
	const pairs = Object.entries(counts).map(([key, count]) => `${key} ${count}`);
	return pairs.length === 0 ? [] : [`${name}: ${pairs.join('  ')}`];
}

/** Formats the report as human-readable text. */
export function formatReport(report: LoadReport): string {
	const {sent, notSent, answered, refused, unknown, answeredPerSecond, tokensPerSecond} = report;
	return [
		`sent ${sent}  not sent ${notSent}  answered ${answered}  refused ${refused}  unknown ${unknown}`,
		`answered in a second: ${answeredPerSecond.toFixed(1)}${tokensPerSecond > 0 ? `, tokens in a second: ${tokensPerSecond.toFixed(0)}` : ''}`,
		...formatLatency('latency', report.latency),
		...formatLatency('first content', report.firstContent),
		...formatCounts('not answered', report.reasons),
		...(isTrue(report) ? ['every answer was whole, its own and true'] : formatCounts('VIOLATIONS', report.violations)),
	].join('\n');
}
