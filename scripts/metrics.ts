/**
 * `npm run metrics`: writes docs/METRICS.md from the metrics of a running entry and agent, and from those that the gateway's code registers.
 */
import {writeFile} from 'node:fs/promises';
import {Registry} from 'prom-client';
import {z} from 'zod';
import {GatewayMetrics} from '@wasabiusher/gateway';
import type {GatewayStatus} from '@wasabiusher/shared';
import {startDeployment} from './bench/deployment.js';
import {Processes, waitFor} from './bench/processes.js';
import {Traffic} from './bench/traffic.js';

const file = 'docs/METRICS.md';

const introduction = [
	'Made by `npm run metrics` from a running entry and agent, and from the code of the gateway, which tells them at the address that `WASABIUSHER_METRICS` names.',
	'They are at `/metrics`, in the text format of Prometheus, or in JSON with `Accept: application/json`.',
	'A metric shows its labels once it has counted something.',
	'Those of the runtime and the process, `nodejs_…` and `process_…`, come with prom-client.',
].join(' ');

/** Prefix of the system's own metrics. All others are runtime metrics that prom-client adds. */
const ownPrefix = 'wasabiusher_';

const metricsSchema = z.array(z.object({
	name: z.string(), help: z.string(), type: z.string(), values: z.array(z.object({labels: z.record(z.string(), z.unknown()).default({})})),
}));

type Metric = z.infer<typeof metricsSchema>[number];

async function readMetrics(origin: string): Promise<Metric[]> {
	const response = await fetch(`${origin}/metrics`, {headers: {accept: 'application/json'}});
	return metricsSchema.parse(await response.json());
}

/** Lists the labels of the values recorded so far, without `le`, which histograms add. */
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

/** Returns the metrics that a gateway exports. Uses a fixed status, so no store is needed. */
async function listGatewayMetrics(): Promise<Metric[]> {
	const registry = new Registry();
	const status: GatewayStatus = {
		host: 'a', dataCentre: 'a', isReady: true, storeWay: 'direct', lateMs: 0, isHolder: false, shares: 0, waiting: {a: 1}, published: {a: 1},
		turns: [{
			turn: 'a', urgency: 1, waiting: 1, oldestMs: 0,
		}],
		endpoints: [{
			id: 'a', service: 'a', dataCentre: 'a', slots: 1, open: 0, others: 0, isDraining: false, isAvailable: true, versions: {},
		}],
	};
	const metrics = new GatewayMetrics(registry, () => status, () => ({droppedLines: 0}), () => ({
		bodyBytes: 0, bodyLimitBytes: 1, connections: {
			silent: 0, receiving: 0, idle: 0, working: 0,
		},
	}));
	metrics.recordCall('a', 'answered', 0);
	return metricsSchema.parse(await registry.getMetricsAsJSON());
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
		'## Gateway',
		formatTable(await listGatewayMetrics()),
	];
	await writeFile(file, `${sections.join('\n\n')}\n`);
} finally {
	await processes.stop();
}
