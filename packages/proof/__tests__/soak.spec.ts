import {expect} from 'chai';
import {createRandomCell, runCell} from '../src/index.js';

/** A small fixed set; `npm run soak` runs as many as there is time for. */
const fixedSeeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

/** Seeds that once showed a fault, with what it was. */
const foundSeeds: ReadonlyArray<[number, string]> = [
	[2096, 'the proof itself killed the wrong agent when one that was dead died again'],
	[2260, 'the same'],
];

describe('random runs', () => {
	for (const seed of fixedSeeds) {
		it(`seed ${seed}`, async () => {
			const {broken} = await runCell(createRandomCell(seed));
			expect(broken).to.deep.equal([]);
		});
	}

	for (const [seed, fault] of foundSeeds) {
		it(`seed ${seed}: ${fault}`, async () => {
			const {broken} = await runCell(createRandomCell(seed));
			expect(broken).to.deep.equal([]);
		});
	}
});
