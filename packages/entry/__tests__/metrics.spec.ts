import {expect} from 'chai';
import {Registry} from 'prom-client';
import {createProblem} from '@wasabiusher/shared';
import type {CallRecord} from '@wasabiusher/systems';
import {EntryMetrics} from '../src/metrics.js';

function createRecord(changes: Partial<CallRecord>): CallRecord {
	// The metrics read only the name of the profile.
	const call = {profileName: 'ranger'} as unknown as CallRecord['call'];
	return {
		call, outcome: 'answered', progress: 'content', queueMs: 2, durationMs: 40, attempts: 1, ...changes,
	};
}

describe('EntryMetrics', () => {
	it('counts calls by outcome, and failures by what the caller had received', async () => {
		const registry = new Registry();
		const metrics = new EntryMetrics(registry, () => ({
			openCalls: 3, draining: 1, linksUp: 2, links: 4, configurationVersion: 9, isReady: true,
		}));
		metrics.recordCall(createRecord({firstContentMs: 12}));
		metrics.recordCall(createRecord({
			outcome: 'refused', progress: 'nothing', problem: createProblem('overloaded', '', 'no'), attempts: 0,
		}));
		metrics.recordCall(createRecord({
			outcome: 'failed', progress: 'head', problem: createProblem('endpoint-failed', '', 'unknown'), attempts: 2,
		}));
		metrics.recordCall(createRecord({outcome: 'failed', progress: 'nothing', problem: createProblem('deadline-exceeded', '', 'unknown')}));
		metrics.recordCall(createRecord({outcome: 'cancelled'}));
		const text = await registry.metrics();
		for (const line of [
			'wasabiusher_calls_total{profile="ranger",outcome="answered"} 1',
			'wasabiusher_calls_total{profile="ranger",outcome="failed"} 2',
			'wasabiusher_calls_total{profile="ranger",outcome="cancelled"} 1',
			'wasabiusher_refusals_total{profile="ranger",reason="overloaded"} 1',
			'wasabiusher_failures_total{profile="ranger",phase="before_content",ran="unknown"} 1',
			'wasabiusher_failures_total{profile="ranger",phase="before_headers",ran="unknown"} 1',
			'wasabiusher_attempts_total{profile="ranger"} 5',
			'wasabiusher_first_content_seconds_count{profile="ranger"} 1',
			'wasabiusher_first_content_seconds_sum{profile="ranger"} 0.012',
			'wasabiusher_admission_wait_seconds_count{profile="ranger"} 5',
			'wasabiusher_draining_attempts 1',
			'wasabiusher_links_up 2',
			'wasabiusher_configuration_version 9',
			'wasabiusher_ready 1',
		]) {
			expect(text.split('\n')).to.include(line);
		}
	});
});
