/**
 * What a run of the demo came to, for people and for programs.
 */

export type Summary = {
	site: string;
	samplesAsked: number;
	samplesDelivered: number;
	samplesDoubled: number;
	samplesLost: number;
	/** Delivered staler than the profile's bound. */
	samplesStale: number;
	/** Samples that more than one weight version made. */
	samplesOfSeveralVersions: number;
	trainerIdleMs: number;
	stepMs: number;
	calls: number;
	answeredInTime: number;
	postings: number;
	postingsDoubled: number;
	postingsLost: number;
};

/** Whether nothing was lost, doubled or stale. */
export function isClean(summary: Summary): boolean {
	const {samplesDoubled, samplesLost, samplesStale, postingsDoubled, postingsLost} = summary;
	return samplesDoubled + samplesLost + samplesStale + postingsDoubled + postingsLost === 0;
}

const labels: ReadonlyArray<[keyof Summary, string]> = [
	['samplesAsked', 'samples asked for'],
	['samplesDelivered', 'samples delivered'],
	['samplesDoubled', 'samples doubled'],
	['samplesLost', 'samples lost'],
	['samplesStale', 'samples too stale'],
	['samplesOfSeveralVersions', 'samples of several weight versions'],
	['stepMs', 'step whole after, ms'],
	['trainerIdleMs', 'trainer idle, ms'],
	['calls', 'interactive calls'],
	['answeredInTime', 'answered whole in time'],
	['postings', 'postings'],
	['postingsDoubled', 'postings doubled'],
	['postingsLost', 'postings lost'],
];

/** Lays a summary out for people, a figure a line. */
export function formatSummary(summary: Summary): string {
	const width = Math.max(...labels.map(([, label]) => label.length));
	const lines = labels.map(([key, label]) => `  ${label.padEnd(width)}  ${formatFigure(summary[key])}`);
	return [summary.site, ...lines].join('\n');
}

function formatFigure(value: number | string): string {
	return typeof value === 'number' ? String(Math.round(value)) : value;
}
