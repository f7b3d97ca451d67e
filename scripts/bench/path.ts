/**
 * Measures the request path from a caller through one entry and one agent to an engine stand-in, each in its own
 * process. The baseline is the same requests sent directly to the engine.
 */
import {createCompared, type Figure} from './figure.js';
import {startDeployment, type Deployment} from './deployment.js';
import {
	sleep, Processes, readCpuSeconds, readRssMb, waitFor,
} from './processes.js';
import {Traffic, type RequestShape, type Target} from './traffic.js';

const wholeCall: RequestShape = {tokens: 1, stream: false};

/** A stream long enough that the cost of its tokens dominates that of its start. */
const longStream: RequestShape = {tokens: 1024, stream: true};

/** Concurrent requests, enough to saturate one core. */
const concurrency = 64;

/** Fraction of the maximum rate at which added latency is measured. */
const loadFraction = 0.5;

async function withTraffic<Result>(target: Target, shape: RequestShape, run: (traffic: Traffic) => Promise<Result>): Promise<Result> {
	const traffic = new Traffic(target, shape);
	try {
		return await run(traffic);
	} finally {
		await traffic.close();
	}
}

/** Measures requests per second through the system and directly to the engine, and the processor time of entry and agent per request. */
async function measureThroughput(deployment: Deployment, seconds: number): Promise<{figures: Figure[]; perSecond: number}> {
	const {direct, through, entryPid, agentPid} = deployment;
	const saturate = async (target: Target) => withTraffic(target, wholeCall, async traffic => traffic.saturate(concurrency, seconds));
	// Warms up the code and the connections of entry, agent and engine.
	await withTraffic(through, wholeCall, async traffic => traffic.saturate(concurrency, 1));
	const baseline = await saturate(direct);
	const before = await Promise.all([entryPid, agentPid].map(async pid => readCpuSeconds(pid)));
	const whole = await saturate(through);
	const after = await Promise.all([entryPid, agentPid].map(async pid => readCpuSeconds(pid)));
	const [entryUs, agentUs] = after.map((value, index) => (value - before[index]!) * 1e6 / whole.n);
	return {
		perSecond: whole.perSecond,
		figures: [
			createCompared('whole calls', '1/s', {value: whole.perSecond, baseline: baseline.perSecond, n: whole.n}),
			{
				name: 'entry CPU of a whole call', value: entryUs!, unit: 'us', n: whole.n,
			},
			{
				name: 'agent CPU of a whole call', value: agentUs!, unit: 'us', n: whole.n,
			},
		],
	};
}

async function measureStreams({direct, through, entryPid, agentPid}: Deployment, seconds: number): Promise<Figure[]> {
	const saturate = async (target: Target) => withTraffic(target, longStream, async traffic => traffic.saturate(concurrency, seconds));
	const baseline = await saturate(direct);
	const before = await Promise.all([entryPid, agentPid].map(async pid => readCpuSeconds(pid)));
	const streams = await saturate(through);
	const after = await Promise.all([entryPid, agentPid].map(async pid => readCpuSeconds(pid)));
	const tokens = streams.n * longStream.tokens;
	const [entryUs, agentUs] = after.map((value, index) => (value - before[index]!) * 1e6 / tokens);
	return [
		createCompared('streamed tokens', '1/s', {value: streams.perSecond * longStream.tokens, baseline: baseline.perSecond * longStream.tokens, n: tokens}),
		{
			name: 'entry CPU of a streamed token', value: entryUs!, unit: 'us', n: tokens,
		},
		{
			name: 'agent CPU of a streamed token', value: agentUs!, unit: 'us', n: tokens,
		},
	];
}

async function measureLatency({direct, through}: Deployment, perSecond: number, seconds: number): Promise<Figure[]> {
	const rate = perSecond * loadFraction;
	const pace = async (target: Target) => withTraffic(target, wholeCall, async traffic => {
		// Opens the connections and warms up the code.
		await traffic.sendAtRate(rate, 1);
		return traffic.sendAtRate(rate, seconds);
	});
	const baseline = await pace(direct);
	const whole = await pace(through);
	return [50, 99].map(percentile => {
		const [value, base] = [whole, baseline].map(histogram => histogram.getValueAtPercentile(percentile) / 1000);
		return {
			name: `added latency p${percentile} at half load`, value: value! - base!, unit: 'ms', baseline: base!, ratio: value! / base!, n: whole.totalCount,
		};
	});
}

/** Measures the resident memory of an idle agent, with an idle Node.js process as the baseline. */
async function measureIdle(processes: Processes, agentPid: number): Promise<Figure> {
	const barePid = processes.start('--eval', 'setInterval(() => {}, 1000)');
	await sleep(1000);
	const [value, baseline] = await Promise.all([agentPid, barePid].map(async pid => readRssMb(pid)));
	return createCompared('RSS of an idle agent', 'MB', {value: value!, baseline: baseline!, n: 1});
}

/** @param seconds - duration of each measurement, in seconds */
export async function measurePath(seconds: number): Promise<Figure[]> {
	const processes = new Processes();
	try {
		const deployment = await startDeployment(processes);
		const idle = await measureIdle(processes, deployment.agentPid);
		await waitFor(async () => withTraffic(deployment.through, wholeCall, async traffic => {
			await traffic.send();
			return true;
		}));
		const {figures, perSecond} = await measureThroughput(deployment, seconds);
		const streams = await measureStreams(deployment, seconds);
		const latency = await measureLatency(deployment, perSecond, seconds);
		const rss: Figure = {
			name: 'RSS of an entry after load', value: await readRssMb(deployment.entryPid), unit: 'MB', n: 1,
		};
		return [...figures, ...streams, ...latency, idle, rss];
	} finally {
		await processes.stop();
	}
}
