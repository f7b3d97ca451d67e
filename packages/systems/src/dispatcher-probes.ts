/**
 * Probes ejected endpoints with shortened copies of a finished idempotent call, or by the health
 * that the agent reports if there is no such call.
 */
import {randomUUID} from 'node:crypto';
import type {Call} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import type {AttemptOutcome} from './dispatcher-outcome.js';
import type {EndpointRow} from './dispatcher-endpoints.js';
import type {Pool} from './dispatcher-pool.js';
import type {AttemptListener} from './dispatcher-run-context.js';

/** Maximum number of tokens of a probe: enough to measure the pace, few compared with a caller's request. */
const maxProbeTokens = 16;

/** Timeout of a probe, in milliseconds. A probe that takes longer is cancelled, which counts as a failure. */
const probeTimeoutMs = 3000;

/** Caller name of probes, whose flow in the agent's fair queue they use. */
const probeCaller = 'wasabiusher-probe';

/** Sends a call to one endpoint, bypassing queues and retry budgets. */
export type ProbeSender = (call: Call, endpoint: string, listener: AttemptListener) => Attempt;

/** Probes an ejected endpoint if a probe is due. Called with each status report of the endpoint. */
export function probeIfDue({id, status}: EndpointRow, pool: Pool, send: ProbeSender): void {
	const {ejection, sample} = pool;
	if (!ejection.tryStartProbe(id, performance.now())) {
		return;
	}

	if (!sample) {
		ejection.recordProbe(id, {hasFailed: !status!.isHealthy, slowness: 1}, performance.now());
		return;
	}

	const probe = createProbe(sample);
	const timers: NodeJS.Timeout[] = [];
	const attempt = send(probe, id, {
		onEvent: () => undefined,
		onSettled(from, outcome) {
			clearTimeout(timers[0]);
			recordProbe(pool, probe, from, outcome);
		},
	});
	timers.push(setTimeout(() => {
		attempt.cancel();
	}, probeTimeoutMs));
}

function recordProbe(pool: Pool, probe: Call, attempt: Attempt, outcome: AttemptOutcome): void {
	const expectedMs = pool.estimateMs(probe.cost) ?? attempt.runMs;
	pool.ejection.recordProbe(attempt.endpoint, {
		hasFailed: outcome.kind !== 'finished', slowness: attempt.runMs / Math.max(1, expectedMs),
	}, performance.now());
}

function createProbe(sample: Call): Call {
	const {work, profile} = sample;
	const isGeneration = work.kind === 'generate';
	const maxTokens = isGeneration ? Math.min(maxProbeTokens, work.request.maxTokens) : 1;
	return {
		...sample,
		id: `probe-${randomUUID()}`,
		work: isGeneration ? {...work, request: {...work.request, maxTokens}} : work,
		caller: probeCaller,
		// Runs with the interactive calls; otherwise its wait at the agent would count as slowness of the endpoint.
		profile: {...profile, class: 'interactive'},
		cost: maxTokens,
		deadlineAt: performance.now() + probeTimeoutMs,
	};
}
