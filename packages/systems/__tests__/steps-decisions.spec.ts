import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {StepDecisions} from '../src/steps-decisions.js';
import type {SlotFacts} from '../src/steps-slots.js';
import {createRequest} from './steps-fixtures.js';

/** Creates a step with all samples done but one, which runs slowly at `engine-0`. */
function createLateStep(): SlotFacts[] {
	return Array.from({length: 12}, (_, position) => ({
		position,
		group: Math.floor(position / 4),
		state: position === 5 ? 'drawing' : 'done',
		startedAttempts: 1,
		startedAt: 0,
		runningAttempts: position === 5 ? 1 : 0,
		tokens: position === 5 ? 2 : 0,
		endpoint: position === 5 ? 'engine-0' : '',
	}));
}

describe('StepDecisions', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
		clock.tick(10_000);
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('plans a second attempt at the last, slow sample if another endpoint is idle', () => {
		const idle = [{id: 'engine-1', slots: 1, speed: 1}];
		expect(new StepDecisions().planSecondAttempts(createRequest(), createLateStep(), idle)).to.deep.equal([5]);
	});

	it('plans no second attempt if the only idle endpoint is the slow one itself', () => {
		const idle = [{id: 'engine-0', slots: 1, speed: 1}];
		expect(new StepDecisions().planSecondAttempts(createRequest(), createLateStep(), idle)).to.deep.equal([]);
	});

	it('plans an early second attempt at a sample that would outlast the rest of the step', () => {
		const facts = createLateStep().map((slot, position) => {
			const isRunning = position < 3;
			return {
				...slot,
				state: position === 5 || isRunning ? 'drawing' as const : 'idle' as const,
				runningAttempts: Number(position === 5 || isRunning),
				tokens: isRunning ? 6000 : slot.tokens,
				endpoint: isRunning ? 'engine-1' : slot.endpoint,
			};
		});
		const idle = [{id: 'engine-2', slots: 1, speed: 1}];
		expect(new StepDecisions().planSecondAttempts(createRequest(), facts, idle)).to.include(5);
	});
});
