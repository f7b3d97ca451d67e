import {expect} from 'chai';
import {createRandomCell, runCell} from '../src/index.js';

/** A small fixed set of seeds; `npm run soak` runs more. */
const fixedSeeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/** Seeds that revealed a fault, with its cause. */
const foundSeeds: ReadonlyArray<[number, string]> = [
	[2096, 'the simulation killed the wrong agent when a dead agent was killed again'],
	[2260, 'the same fault as with seed 2096'],
];

describe('random runs', () => {
	for (const seed of fixedSeeds) {
		it(`breaks no rule with seed ${seed}`, async () => {
			const {broken} = await runCell(createRandomCell(seed));
			expect(broken).to.deep.equal([]);
		});
	}

	for (const [seed, fault] of foundSeeds) {
		it(`breaks no rule with seed ${seed}, which revealed a fault: ${fault}`, async () => {
			const {broken} = await runCell(createRandomCell(seed));
			expect(broken).to.deep.equal([]);
		});
	}
});
