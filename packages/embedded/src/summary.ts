/**
 * The result of a run of the demo, and its formatting as text.
 */

/** Figures of one site. The keys are printed as JSON. */
export type Summary = {
	site: string;
	samplesAsked: number;
	samplesDelivered: number;
	samplesDoubled: number;
	samplesLost: number;
	/** Samples delivered with a staleness above the profile's bound. */
	samplesStale: number;
	/** Samples that more than one weight version generated. */
	samplesOfSeveralVersions: number;
	trainerIdleMs: number;
	stepMs: number;
	calls: number;
	answeredInTime: number;
	postings: number;
	postingsDoubled: number;
	postingsLost: number;
};

/** Returns whether nothing was lost, delivered or posted twice, or too stale. */
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

/** Formats a summary as text, one figure per line. */
export function formatSummary(summary: Summary): string {
	const width = Math.max(...labels.map(([, label]) => label.length));
	const lines = labels.map(([key, label]) => `  ${label.padEnd(width)}  ${formatFigure(summary[key])}`);
	return [summary.site, ...lines].join('\n');
}

function formatFigure(value: number | string): string {
	return typeof value === 'number' ? String(Math.round(value)) : value;
}
