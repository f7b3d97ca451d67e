import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {
	chooseDirect, gainsByMoving, isAtRisk, SpeedModel, GenerationLengths, type DirectCandidate,
} from '../src/index.js';

type ReplayedGeneration = {made: number; madeHere: number; length: number; hint: number; at: number};

const tickMs = 50;
const slots = 6;
const dueMs = 3750;

describe('generations on endpoints of two speeds', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Creates generations with lengths like those of a trainer: a mean of 20 events, few over 100. Hints are unbiased and off by at most a factor of two. */
	function createGenerations(random: Random, count: number): ReplayedGeneration[] {
		return Array.from({length: count}, () => {
			const length = Math.min(152, Math.ceil(5 / (Math.max(0.001, random.next()) ** 0.75)));
			return {
				made: 0, madeHere: 0, length, hint: length * (2 ** ((2 * random.next()) - 1)), at: -1,
			};
		}).toSorted((a, b) => b.hint - a.hint);
	}

	function recordLengths(random: Random): GenerationLengths {
		const lengths = new GenerationLengths();
		for (const {hint, length} of createGenerations(random, 120)) {
			lengths.record('t', hint, length);
		}

		return lengths;
	}

	/**
	 * Replays a step whose generations begin together.
	 *
	 * @param findUnitMs - time for an event at an endpoint, by the time since the start of the step, in milliseconds
	 * @returns time at which all are complete, in milliseconds, and the number of moves per generation
	 */
	function replay(seed: number, paces: readonly number[], {isPlanned, findUnitMs = endpoint => paces[endpoint]!}: {isPlanned: boolean; findUnitMs?: (endpoint: number, ms: number) => number}) {
		const random = new Random(seed);
		const lengths = recordLengths(random);
		const models = paces.map(paceMs => {
			const model = new SpeedModel();
			model.assumePersistent(paceMs);
			return model;
		});
		const generations = createGenerations(random, paces.length * slots * 0.9);
		const listCandidates = (): DirectCandidate[] => paces.map((_, i) => ({
			id: String(i), slots, open: generations.filter(({at}) => at === i).length, openElsewhere: 0, paceMs: isPlanned ? models[i]!.expectedMs : undefined, hasCachedPrefix: false, isDedicated: true, isConnected: true,
		}));
		for (const generation of generations) {
			const units = isPlanned ? lengths.estimateRemaining('t', generation.hint, 0)! : undefined;
			generation.at = Number(chooseDirect(listCandidates().filter(({open}) => open < slots), random.next(), units === undefined ? undefined : {units, dueInMs: dueMs})!.id);
		}

		let moves = 0;
		let ms = 0;
		const move = (generation: ReplayedGeneration) => {
			const movable = {unitsMadeHere: generation.madeHere, unitsLeft: lengths.estimateRemaining('t', generation.hint, generation.made)!, dueInMs: dueMs - ms};
			const here = models[generation.at]!.speed;
			const better = isPlanned && isAtRisk(movable, here) ? listCandidates().filter(({id, open}) => open < slots && gainsByMoving(movable, here, models[Number(id)]!.speed)) : [];
			const chosen = chooseDirect(better, random.next());
			if (chosen) {
				generation.at = Number(chosen.id);
				generation.madeHere = 0;
				moves += 1;
			}
		};

		for (; generations.some(({at}) => at >= 0); ms += tickMs) {
			clock.tick(tickMs);
			for (const generation of generations.filter(({at}) => at >= 0)) {
				const unitMs = findUnitMs(generation.at, ms);
				models[generation.at]!.recordUnit(unitMs);
				generation.made += tickMs / unitMs;
				generation.madeHere += tickMs / unitMs;
				if (generation.made >= generation.length) {
					generation.at = -1;
				} else {
					move(generation);
				}
			}
		}

		return {endMs: ms, moves: moves / generations.length};
	}

	function average(seeds: number, replaySeed: (seed: number) => {endMs: number; moves: number}) {
		const results = Array.from({length: seeds}, (_, i) => replaySeed(i + 1));
		const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
		return {endMs: mean(results.map(({endMs}) => endMs)), moves: mean(results.map(({moves}) => moves))};
	}

	const uneven = [26, 26, 56, 56, 56, 56, 56, 56, 56, 56];

	it('ends a step in two thirds of the time by running its longest generations on the fast endpoints, and moves fewer than a tenth of its generations', () => {
		const before = average(10, seed => replay(seed, uneven, {isPlanned: false}));
		const after = average(10, seed => replay(seed, uneven, {isPlanned: true}));
		expect(after.endMs).to.be.below(0.67 * before.endMs);
		expect(after.moves).to.be.below(0.1);
	});

	it('moves the long generations of an endpoint that is three times slower for six seconds, and leaves the short ones', () => {
		const paces = uneven.map(() => 40);
		const findUnitMs = (endpoint: number, ms: number) => endpoint === 0 && ms >= 300 && ms < 6300 ? 120 : 40;
		const before = average(10, seed => replay(seed, paces, {isPlanned: false, findUnitMs}));
		const after = average(10, seed => replay(seed, paces, {isPlanned: true, findUnitMs}));
		expect(after.endMs).to.be.below(0.9 * before.endMs);
		expect(after.moves).to.be.below(0.1);
	});

	it('never moves a generation in its first five events, unless its endpoint has become slow', () => {
		const newlyStarted = {unitsMadeHere: 3, unitsLeft: 100, dueInMs: 2000};
		expect([1, 3].map(factor => isAtRisk(newlyStarted, {persistentMs: 56, episodicFactor: factor, transientFactor: 1}))).to.deep.equal([false, true]);
		expect(isAtRisk({...newlyStarted, unitsMadeHere: 5}, {persistentMs: 56, episodicFactor: 1, transientFactor: 1})).to.equal(true);
	});

	it('stays at an endpoint that is merely full if an idle one has the same persistent speed', () => {
		const settled = {unitsMadeHere: 20, unitsLeft: 100, dueInMs: 2000};
		expect(gainsByMoving(settled, {persistentMs: 56, episodicFactor: 1, transientFactor: 1}, {persistentMs: 26, episodicFactor: 2, transientFactor: 1})).to.equal(true);
		expect([2, 2.5].map(factor => gainsByMoving(settled, {persistentMs: 56, episodicFactor: factor, transientFactor: 1}, {persistentMs: 56, episodicFactor: 1, transientFactor: 1}))).to.deep.equal([false, true]);
	});
});

describe('GenerationLengths', () => {
	it('expects a long generation to continue, and more so with a longer hint', () => {
		const lengths = new GenerationLengths();
		for (const events of [5, 8, 10, 12, 14, 16, 20, 60, 120]) {
			lengths.record('t', undefined, events);
		}

		const left = [0, 40, 100].map(made => lengths.estimateRemaining('t', undefined, made));
		expect(left).to.deep.equal([265 / 9, 50, 20]);
		expect(lengths.estimateRemaining('t', undefined, 150)).to.equal(75);
		expect(lengths.estimateRemaining('t', 2, 0)).to.equal(2 * 265 / 9);
	});

	it('uses the events made so far while it knows no other generations', () => {
		expect([0, 40].map(made => new GenerationLengths().estimateRemaining('t', undefined, made))).to.deep.equal([undefined, 20]);
	});
});
