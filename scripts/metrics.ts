/**
 * `npm run metrics`: writes docs/METRICS.md from the metrics that a running entry and agent have.
 */
import {writeFile} from 'node:fs/promises';
import {z} from 'zod';
import {startDeployment} from './bench/deployment.js';
import {Processes, waitFor} from './bench/processes.js';
import {Traffic} from './bench/traffic.js';

const file = 'docs/METRICS.md';

const introduction = [
	'Made by `npm run metrics` from a running entry and agent.',
	'They are at `/metrics`, in the text format of Prometheus, or in JSON with `Accept: application/json`.',
	'A metric shows its labels once it has counted something.',
	'Those of the runtime and the process, `nodejs_…` and `process_…`, come with prom-client.',
].join(' ');

/** Prefix of the system's own metrics; others are the runtime's, by the library. */
const ownPrefix = 'wasabiusher_';

const metricsSchema = z.array(z.object({
	name: z.string(), help: z.string(), type: z.string(), values: z.array(z.object({labels: z.record(z.string(), z.unknown()).default({})})),
}));

type Metric = z.infer<typeof metricsSchema>[number];

async function readMetrics(origin: string): Promise<Metric[]> {
	const response = await fetch(`${origin}/metrics`, {headers: {accept: 'application/json'}});
	return metricsSchema.parse(await response.json());
}

/** Labels seen so far, without those that a histogram adds. */
function listLabels({values}: Metric): string {
	const names = new Set(values.flatMap(({labels}) => Object.keys(labels)));
	names.delete('le');
	return [...names].map(name => `\`${name}\``).join(', ');
}

function formatTable(metrics: readonly Metric[]): string {
	const rows = metrics
		.filter(({name}) => name.startsWith(ownPrefix))
		.toSorted((a, b) => a.name < b.name ? -1 : 1)
		.map(metric => `| \`${metric.name}\` | ${metric.type} | ${listLabels(metric)} | ${metric.help} |`);
	return ['| name | type | labels seen | what it is |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

await import('./build.js');
const processes = new Processes();
try {
	const {through, agentOrigin} = await startDeployment(processes);
	const traffic = new Traffic(through, {tokens: 1, stream: true});
	await waitFor(async () => {
		await traffic.send();
		return true;
	});
	await traffic.close();
	const sections = [
		'# Metrics',
		introduction,
		'## Entry',
		formatTable(await readMetrics(through.origin)),
		'## Agent',
		formatTable(await readMetrics(agentOrigin)),
	];
	await writeFile(file, `${sections.join('\n\n')}\n`);
} finally {
	await processes.stop();
}
