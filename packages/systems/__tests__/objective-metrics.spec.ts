import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {profileSchema} from '@wasabiusher/shared';
import {ObjectiveMetrics} from '../src/index.js';

describe('ObjectiveMetrics', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({toFake: ['performance']});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('exposes each objective in force, with its target, events by window and observed time', async () => {
		const registry = new Registry();
		const ranger = profileSchema.parse({
			class: 'interactive', idempotent: true, deadlineMs: 100, objective: {answeredInTime: 0.99},
		});
		const metrics = new ObjectiveMetrics(registry, () => ({ranger}));
		metrics.record('ranger', 'answeredInTime', true, 3);
		metrics.record('ranger', 'answeredInTime', false);
		metrics.record('ranger', 'fresh', false);
		metrics.record('other', 'answeredInTime', false);
		await registry.metrics();
		clock.tick(600_000);
		metrics.record('ranger', 'answeredInTime', true);
		const text = await registry.metrics();
		const lines = text.split('\n').filter(line => line.startsWith('wasabiusher_') && /sixHours|fiveMinutes|target/v.test(line));
		expect(lines.toSorted()).to.deep.equal([
			'wasabiusher_objective_covered_seconds{profile="ranger",objective="answeredInTime",window="fiveMinutes"} 300',
			'wasabiusher_objective_covered_seconds{profile="ranger",objective="answeredInTime",window="sixHours"} 600',
			'wasabiusher_objective_events{profile="ranger",objective="answeredInTime",window="fiveMinutes",result="bad"} 0',
			'wasabiusher_objective_events{profile="ranger",objective="answeredInTime",window="fiveMinutes",result="good"} 1',
			'wasabiusher_objective_events{profile="ranger",objective="answeredInTime",window="sixHours",result="bad"} 1',
			'wasabiusher_objective_events{profile="ranger",objective="answeredInTime",window="sixHours",result="good"} 4',
			'wasabiusher_objective_target{profile="ranger",objective="answeredInTime"} 0.99',
		]);
	});
});
