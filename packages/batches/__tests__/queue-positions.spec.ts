import {expect} from 'chai';
import {QueuePositions} from '../src/queue-positions.js';
import {createRoute} from './fixtures.js';

describe('SharePlaces', () => {
	const places = new QueuePositions('trainer', 5000, ['long', 'short']);
	const step = createRoute({priority: 1});
	const scorer = createRoute({priority: 4, objectiveMs: 400});

	it('keeps the planned order of the texts, with those out of the plan last', () => {
		expect(['long', 'short', 'other'].map(id => places.findGeneration(id).rank)).to.deep.equal([0, 1, 2]);
		expect(places.findGeneration('long')).to.deep.equal({turn: 'trainer', dueAt: 5000, rank: 0});
	});

	it('lets scores go with the urgency of the step only once it is nearly whole', () => {
		expect([0.5, 0.8].map(donePart => places.findScore(step, scorer, 1, donePart).urgency)).to.deep.equal([4, 1]);
	});

	it('lets those scores go first whose groups lack the least', () => {
		const ranks = [1, 3].map(missing => places.findScore(step, scorer, missing, 0).rank!);
		expect(ranks[0]).to.be.below(ranks[1]!);
	});
});
