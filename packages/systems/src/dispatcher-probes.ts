/**
 * Probes of endpoints that were taken out of use: copies of a finished, idempotent call,
 * cut short, or the health that the agent reports where no call may be copied.
 */
import {randomUUID} from 'node:crypto';
import type {Call} from './call.js';
import type {Attempt} from './dispatcher-attempt.js';
import type {AttemptOutcome} from './dispatcher-outcome.js';
import type {EndpointRow} from './dispatcher-endpoints.js';
import type {Pool} from './dispatcher-pool.js';
import type {AttemptOwner} from './dispatcher-run-context.js';

/** Tokens of a probe at the most: enough to show the pace, little beside a caller's answer. */
const maxProbeTokens = 16;

/** Longest probe, in milliseconds; the ejection counts a later end as a failure. */
const probeTimeoutMs = 3000;

/** Whose turn at the agent probes use up. */
const probeCaller = 'wasabiusher-probe';

/** Sends a call to one endpoint, beside all lines and budgets. */
export type ProbeSender = (call: Call, endpoint: string, owner: AttemptOwner) => Attempt;

/** Probes an ejected endpoint if it is its turn; called with each of its reports. */
export function probeIfDue({id, status}: EndpointRow, pool: Pool, send: ProbeSender): void {
	const {ejection, sample} = pool;
	if (!ejection.tryTakeProbe(id, performance.now())) {
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
		// In time beside interactive calls, or its wait at the agent would be taken for slowness.
		profile: {...profile, class: 'interactive'},
		cost: maxTokens,
		deadlineAt: performance.now() + probeTimeoutMs,
	};
}
