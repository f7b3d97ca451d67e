import {expect} from 'chai';
import {QueuePositions} from '../src/queue-positions.js';
import {createRoute} from './fixtures.js';

describe('QueuePositions', () => {
	const positions = new QueuePositions('trainer', 5000, ['long', 'short']);
	const step = createRoute({priority: 1});
	const scorer = createRoute({priority: 4, objectiveMs: 400});

	it('keeps the planned order of generations, with samples outside of it last', () => {
		expect(['long', 'short', 'other'].map(id => positions.findGeneration(id).rank)).to.deep.equal([0, 1, 2]);
		expect(positions.findGeneration('long')).to.deep.equal({turn: 'trainer', dueAt: 5000, rank: 0});
	});

	it('queues scores with the urgency of the step only once it is nearly complete', () => {
		expect([0.5, 0.8].map(doneFraction => positions.findScore(step, scorer, 1, doneFraction).urgency)).to.deep.equal([4, 1]);
	});

	it('ranks scores first whose groups have the fewest missing results', () => {
		const ranks = [1, 3].map(missing => positions.findScore(step, scorer, missing, 0).rank!);
		expect(ranks[0]).to.be.below(ranks[1]!);
	});
});
