import {expect} from 'chai';
import {
	chooseSample, divideSlots, LengthPrediction, orderSamples, planCopies, type Straggler, type TrainerDemand,
} from '../src/index.js';

function createGroup(group: number, predictedTokens: number, changes = {}) {
	return [0, 1, 2].map(index => ({
		group, index, predictedTokens, ...changes,
	}));
}

describe('orderSamples', () => {
	it('starts whole groups, longest first', () => {
		const ordered = orderSamples([...createGroup(1, 100), ...createGroup(2, 900), ...createGroup(3, 400)]);
		expect(ordered.map(({group}) => group)).to.deep.equal([2, 2, 2, 3, 3, 3, 1, 1, 1]);
	});

	it('starts redrawn samples first, then one of each group of unknown length', () => {
		const redrawn = {
			group: 9, index: 4, predictedTokens: 1, isRedrawn: true,
		};
		const ordered = orderSamples([...createGroup(1, 500, {isUnknown: true}), ...createGroup(2, 900), redrawn]);
		expect(ordered.map(({group, index}) => `${group}/${index}`)).to.deep.equal(['9/4', '1/0', '2/0', '2/1', '2/2', '1/1', '1/2']);
	});
});

describe('chooseSample', () => {
	const ordered = orderSamples([...createGroup(1, 100), ...createGroup(2, 900), ...createGroup(3, 400)]);

	it('gives an endpoint the longest sample that it is likely to finish in time', () => {
		expect(chooseSample(ordered, 0.1, 20_000)?.group).to.equal(2);
		expect(chooseSample(ordered, 0.05, 20_000)?.group).to.equal(3);
	});

	it('gives it the shortest sample when none would finish, and nothing without samples', () => {
		expect(chooseSample(ordered, 0.01, 1000)?.group).to.equal(1);
		expect(chooseSample([], 1, 1000)).to.equal(undefined);
	});
});

describe('LengthPrediction', () => {
	it('distinguishes long prompts from short ones by their samples', () => {
		const prediction = new LengthPrediction();
		expect(prediction.predict('k', 'long', 8000)).to.equal(4000);
		for (let i = 0; i < 4; i++) {
			prediction.record('k', 'long', 2000);
			prediction.record('k', 'short', 100);
		}

		expect(prediction.predict('k', 'long', 8000)).to.be.above(1500);
		expect(prediction.predict('k', 'short', 8000)).to.be.below(400);
		expect(prediction.predict('k', 'never seen', 8000)).to.equal(1050);
		expect(prediction.predict('k', 'long', 1000)).to.equal(1000);
	});

	it('expects samples of the same prompt as a long running one to be long, until its length is known', () => {
		const prediction = new LengthPrediction();
		prediction.record('k', 'other', 100);
		prediction.recordProgress('k', 'running', 2000);
		expect(prediction.predict('k', 'running', 8000)).to.equal(3000);
		expect(prediction.hasFinishedSample('k', 'running')).to.equal(false);
		prediction.record('k', 'running', 2100);
		expect(prediction.predict('k', 'running', 8000)).to.be.within(1500, 2100);
	});

	it('expects more remaining tokens of a sample that is already long', () => {
		const prediction = new LengthPrediction();
		for (let i = 1; i <= 100; i++) {
			prediction.record('k', `p${i}`, i < 90 ? 100 : 2000);
		}

		expect(prediction.predictRemaining('k', 'x', 0, 8000)).to.be.within(250, 350);
		expect(prediction.predictRemaining('k', 'x', 200, 8000)).to.be.within(1500, 2000);
		expect(prediction.predictRemaining('k', 'x', 4000, 8000)).to.equal(2000);
		expect(prediction.predictRemaining('k', 'x', 7900, 8000)).to.equal(100);
	});
});

describe('planCopies', () => {
	function createStraggler(id: string, changes: Partial<Straggler> = {}): Straggler {
		return {
			id, endpoint: 'slow', remainingTokens: 1000, madeTokens: 1000, speed: 0.1, hasCopy: false, ...changes,
		};
	}

	const idle = [{id: 'fast', slots: 1, speed: 1}, {id: 'slow', slots: 8, speed: 5}];

	it('copies the slowest sample to an idle endpoint late in the step, never to its own', () => {
		const stragglers = [createStraggler('short', {remainingTokens: 500}), createStraggler('long')];
		expect(planCopies(stragglers, idle, 0.95, true)).to.deep.equal([{sample: 'long', to: 'fast'}]);
		expect(planCopies(stragglers, idle, 0.5, true)).to.deep.equal([]);
	});

	it('copies earlier a sample that would outlast the step where it runs', () => {
		const stragglers = [createStraggler('short', {remainingTokens: 500, stepLeftMs: 8000}), createStraggler('long', {stepLeftMs: 8000})];
		expect(planCopies(stragglers, idle, 0.5, true)).to.deep.equal([{sample: 'long', to: 'fast'}]);
	});

	it('makes no copy that would not finish clearly earlier, and no second copy', () => {
		const straggler = createStraggler('a', {speed: 0.6});
		expect(planCopies([straggler], idle, 0.95, false)).to.deep.equal([]);
		expect(planCopies([straggler], idle, 0.95, true)).to.have.lengthOf(1);
		expect(planCopies([createStraggler('a', {hasCopy: true})], idle, 0.95, true)).to.deep.equal([]);
	});
});

describe('divideSlots', () => {
	function createDemand(trainer: string, changes: Partial<TrainerDemand> = {}): TrainerDemand {
		return {
			trainer, share: 1, remainingTokens: 0, deadlineAt: 100_000, usableSlots: 100, nextStepSlots: 0, ...changes,
		};
	}

	it('gives each step the rate that it needs for its deadline, and divides the rest by share', () => {
		const slots = divideSlots([
			createDemand('late', {remainingTokens: 60_000}),
			createDemand('early', {remainingTokens: 20_000, share: 3}),
		], 120, 0.01, 0);
		expect(slots.get('late')).to.equal(70);
		expect(slots.get('early')).to.equal(50);
	});

	it('divides scarce slots by demand', () => {
		const slots = divideSlots([createDemand('a', {remainingTokens: 90_000}), createDemand('b', {remainingTokens: 30_000})], 40, 0.01, 0);
		expect([slots.get('a'), slots.get('b')]).to.deep.equal([30, 10]);
	});

	it('lets the next step\'s work fill the tail', () => {
		const slots = divideSlots([
			createDemand('tail', {remainingTokens: 1000, usableSlots: 4, nextStepSlots: 100}),
			createDemand('other', {remainingTokens: 10_000, usableSlots: 20}),
		], 48, 0.01, 0);
		expect([slots.get('tail'), slots.get('other')]).to.deep.equal([28, 20]);
	});
});
