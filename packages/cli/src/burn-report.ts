/**
 * Sums the event counts of objectives over several entries, and derives burn rates and alerts from them.
 */
import {request} from 'undici';
import {z} from 'zod';
import {
	addWindowCounts, burnWindowNames, burnWindows, judgeBurn, mapBurnWindows, type BurnAlert, type BurnCounts, type BurnWindow, type WindowCounts,
} from '@wasabiusher/decisions';
import {maxSuccessStatus, toPlatformError} from '@wasabiusher/backends';
import {describeError} from '@wasabiusher/shared';

/** Names of the metrics that entries expose for the objectives of each profile. */
const metricNames = {
	target: 'wasabiusher_objective_target',
	events: 'wasabiusher_objective_events',
	covered: 'wasabiusher_objective_covered_seconds',
} as const;

const metricsSchema = z.array(z.object({
	name: z.string(),
	values: z.array(z.object({
		labels: z.record(z.string(), z.union([z.string(), z.number()])).default({}),
		value: z.number().nullable(),
	})),
}));

type Metrics = z.infer<typeof metricsSchema>;

/** Metrics of one entry, or the reason why they are missing. */
export type EntryMetrics = {origin: string; metrics?: Metrics; error?: string};

/** One objective of one profile, summed over all entries. */
export type BurnRow = {
	profile: string;
	objective: string;
	target: number;
	counts: BurnCounts;
	rates: Readonly<Record<BurnWindow, number | undefined>>;
	budgetLeft: number | undefined;
	alerts: BurnAlert[];
	/** Descriptions of the data that is missing; empty if the data is complete. */
	missing: string[];
};

export type BurnReport = {
	rows: BurnRow[];
	/** Entries whose events are not included. */
	missing: Array<{origin: string; reason: string}>;
	entries: number;
};

/** Reads the metrics of each entry. */
export async function readMetrics(origins: readonly string[], timeoutMs: number): Promise<EntryMetrics[]> {
	return Promise.all(origins.map(async origin => {
		try {
			const {statusCode, body} = await request(new URL('/metrics', origin), {
				headers: {accept: 'application/json'}, headersTimeout: timeoutMs, bodyTimeout: timeoutMs,
			});
			const content = await body.json();
			const parsed = metricsSchema.safeParse(content);
			return parsed.success && statusCode <= maxSuccessStatus ? {origin, metrics: parsed.data} : {origin, error: `status ${statusCode}, and no metrics in the answer`};
		} catch (error) {
			return {origin, error: describeError(toPlatformError(error))};
		}
	}));
}

type Labels = {profile: string; objective: string; window?: string; result?: string};

/** Returns the value of a metric with the given labels; undefined if there is none. */
function findValue(metrics: Metrics, name: string, labels: Labels): number | undefined {
	const metric = metrics.find(other => other.name === name);
	const sample = metric?.values.find(({labels: sampleLabels}) => Object.entries(labels).every(([label, value]) => sampleLabels[label] === value));
	return sample?.value ?? undefined;
}

function readCounts(metrics: Metrics, labels: Labels): BurnCounts {
	return mapBurnWindows((window): WindowCounts => {
		const good = findValue(metrics, metricNames.events, {...labels, window, result: 'good'}) ?? 0;
		const bad = findValue(metrics, metricNames.events, {...labels, window, result: 'bad'}) ?? 0;
		const coveredSeconds = findValue(metrics, metricNames.covered, {...labels, window}) ?? 0;
		return {good, total: good + bad, coveredMs: coveredSeconds * 1000};
	});
}

function listObjectives(metricsOfEntries: readonly Metrics[]): Array<Labels & {target: number}> {
	const objectives = new Map<string, Labels & {target: number}>();
	for (const metrics of metricsOfEntries) {
		for (const {labels, value} of metrics.find(({name}) => name === metricNames.target)?.values ?? []) {
			const profile = String(labels.profile);
			const objective = String(labels.objective);
			objectives.set(`${profile} ${objective}`, {profile, objective, target: value ?? 0});
		}
	}

	return [...objectives.values()].toSorted((a, b) => a.profile.localeCompare(b.profile) || a.objective.localeCompare(b.objective));
}

/** Labels of the windows in reports. */
export const windowLabels: Readonly<Record<BurnWindow, string>> = {
	fiveMinutes: '5m', halfHour: '30m', oneHour: '1h', sixHours: '6h',
};

/** Builds the report. */
export function buildBurnReport(answers: readonly EntryMetrics[]): BurnReport {
	const metricsOfEntries = answers.map(({metrics}) => metrics).filter(metrics => metrics !== undefined);
	const missing = answers.filter(({error}) => error !== undefined).map(({origin, error}) => ({origin, reason: error!}));
	const rows = listObjectives(metricsOfEntries).map(({profile, objective, target}): BurnRow => {
		const entriesWithObjective = metricsOfEntries.filter(metrics => findValue(metrics, metricNames.target, {profile, objective}) !== undefined);
		const countsByEntry = entriesWithObjective.map(metrics => readCounts(metrics, {profile, objective}));
		const counts = mapBurnWindows(window => addWindowCounts(countsByEntry.map(entryCounts => entryCounts[window])));
		const {rates, budgetLeft, alerts, empty, partial} = judgeBurn(target, counts);
		return {
			profile, objective, target, counts, rates, budgetLeft, alerts, missing: describeMissing(empty, partial, answers.length - entriesWithObjective.length),
		};
	});
	return {rows, missing, entries: answers.length};
}

function describeMissing(empty: readonly BurnWindow[], partial: readonly BurnWindow[], entriesWithoutMetrics: number): string[] {
	const isEmpty = empty.length === burnWindowNames.length;
	return [
		...(isEmpty ? ['no events'] : []),
		...(partial.length > 0 ? [`not observed whole: ${partial.map(window => windowLabels[window]).join(' ')}`] : []),
		...(entriesWithoutMetrics > 0 ? [`${entriesWithoutMetrics} entries without figures`] : []),
	];
}

/** Length of the longest window in hours, for headings. */
export const budgetHours = burnWindows.sixHours / 3_600_000;
