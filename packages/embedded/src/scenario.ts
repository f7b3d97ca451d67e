/**
 * The scenario that the demo runs at one site: a training step with a weight update in the middle, postings, and streamed queries.
 */
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {findOldestVersion, type Configuration, type Sample} from '@wasabiusher/shared';
import type {Deployment} from './deployment.js';
import type {Site} from './sites.js';
import type {Summary} from './summary.js';
import {Trainer} from './trainer.js';

/** Samples per prompt. Trainers that compare answers within a group request several samples of each prompt. */
const groupSize = 16;

/** Tokens per sample. The engines take seconds to generate them, so that weights change during a sample. */
const sampleTokens = 500;

/** Tokens per streamed query. */
const queryTokens = 40;

/** Number of postings, and of streamed queries, during the step. */
const callCount = 20;

/** Interval between postings, in milliseconds. */
const callIntervalMs = 40;

/** Time-out of the step, in milliseconds. */
const stepTimeoutMs = 60_000;

/** A site with its running deployment. */
export type Scenario = {
	site: Site;
	deployment: Deployment;
	configuration: Configuration;
	/** Called with a line of progress to print. */
	report(line: string): void;
};

type Counts = {calls: number; answeredInTime: number; keys: string[]};

/** Runs the scenario once and returns its figures. */
export async function runScenario(scenario: Scenario): Promise<Summary> {
	const origins = listOrigins(scenario.deployment);
	const counts: Counts = {calls: 0, answeredInTime: 0, keys: []};
	const startedAt = performance.now();
	const [step] = await Promise.all([
		runStep(scenario, origins),
		makeCalls(scenario, origins, counts),
	]);
	return {
		site: scenario.site.title,
		...step,
		stepMs: step.stepMs - startedAt,
		calls: counts.calls,
		answeredInTime: counts.answeredInTime,
		...countPostings(scenario.deployment, counts.keys),
	};
}

function listOrigins({entries}: Deployment): [string, ...string[]] {
	const [first, ...rest] = entries.map(({addresses}) => `http://${addresses.callers}`);
	return [first!, ...rest];
}

async function runStep({site, deployment, configuration, report}: Scenario, origins: [string, ...string[]]) {
	const {model, profile, trainer: name, prompts} = site.rollout;
	const total = prompts.length * groupSize;
	const bound = configuration.profiles[profile]!.freshness?.versions ?? Number.POSITIVE_INFINITY;
	let version = site.size.models[model]!;
	let count = 0;
	const trainer = new Trainer({
		origins,
		version: () => version,
		onSample() {
			count += 1;
			if (count === Math.floor(total / 4)) {
				version += 1;
				deployment.platform.publish(model, version);
				report(`${site.title}: ${count} of ${total} samples delivered; weights ${model}@${version} published`);
			}
		},
	});
	const received = await trainer.runStep({
		id: `demo-${Date.now()}`, profile, trainer: name, model, groups: prompts.map(prompt => ({prompt})), groupSize, maxTokens: sampleTokens,
	}, AbortSignal.timeout(stepTimeoutMs));
	report(`${site.title}: step drawn, ${received.samples.size} of ${total} samples`);
	const samples = [...received.samples.values()];
	const stale = [...received.staleness].filter(([staleness]) => staleness > bound).reduce((sum, [, sampleCount]) => sum + sampleCount, 0);
	return {
		samplesAsked: total,
		samplesDelivered: samples.length,
		samplesDoubled: received.duplicates,
		samplesLost: total - samples.length,
		samplesStale: stale,
		samplesOfSeveralVersions: samples.filter(sample => hasSeveralVersions(sample)).length,
		trainerIdleMs: received.idleMs,
		stepMs: performance.now(),
	};
}

function hasSeveralVersions({versions}: Sample): boolean {
	return versions.some(({version}) => version !== findOldestVersion(versions));
}

async function makeCalls(scenario: Scenario, origins: string[], counts: Counts): Promise<void> {
	const pending: Array<Promise<void>> = [];
	for (let index = 0; index < callCount; index += 1) {
		const origin = origins[index % origins.length]!;
		pending.push(postReading(scenario, origin, index, counts), streamQuery(scenario, origin, counts));
		// The calls are spread over the time of the step.
		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			setTimeout(resolve, callIntervalMs);
		});
	}

	await Promise.all(pending);
	scenario.report(`${scenario.site.title}: ${counts.answeredInTime} of ${counts.calls} calls answered whole in time`);
}

async function postReading({site}: Scenario, origin: string, index: number, counts: Counts): Promise<void> {
	const {service, profile, caller} = site.posting;
	const key = `reading-${Date.now()}-${index}`;
	counts.calls += 1;
	counts.keys.push(key);
	const {statusCode, body} = await request(new URL(`/${service}/postings`, origin), {
		method: 'POST',
		body: JSON.stringify({key, level: 1000 + index}),
		headers: {
			'content-type': 'application/json', 'wasabiusher-profile': profile, 'wasabiusher-caller': caller, 'idempotency-key': key,
		},
	});
	await body.dump();
	counts.answeredInTime += statusCode === 201 ? 1 : 0;
}

async function streamQuery({site}: Scenario, origin: string, counts: Counts): Promise<void> {
	const {model, profile, caller, prompt} = site.query;
	counts.calls += 1;
	const {statusCode, body} = await request(new URL('/v1/completions', origin), {
		method: 'POST',
		// `max_tokens` is a name of the public completions protocol.

		body: JSON.stringify({
			model, prompt, max_tokens: queryTokens, stream: true,
		}),
		headers: {'content-type': 'application/json', 'wasabiusher-profile': profile, 'wasabiusher-caller': caller},
	});
	let isComplete = false;
	const parser = createParser({
		onEvent({data}) {
			isComplete ||= data === '[DONE]';
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
	}

	counts.answeredInTime += statusCode === 200 && isComplete ? 1 : 0;
}

function countPostings({ledgers}: Deployment, keys: readonly string[]) {
	const counts = keys.map(key => ledgers.reduce((sum, ledger) => sum + (ledger.postings.get(key) ?? 0), 0));
	return {
		postings: keys.length,
		postingsDoubled: counts.filter(count => count > 1).length,
		postingsLost: counts.filter(count => count === 0).length,
	};
}
