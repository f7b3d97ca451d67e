import {expect} from 'chai';
import {orderCheckpoint, type UnfinishedGeneration} from '../src/index.js';

function createGeneration(id: string, changes: Partial<UnfinishedGeneration> = {}): UnfinishedGeneration {
	return {
		id, events: 40, writtenEvents: 20, lacking: 4, ...changes,
	};
}

describe('orderCheckpoint', () => {
	it('puts long generations first, then those with many unwritten events, and those that are the last missing ones of their group', () => {
		const generations = [
			createGeneration('usual'),
			createGeneration('long', {events: 140, writtenEvents: 120}),
			createGeneration('unwritten', {writtenEvents: 0}),
			createGeneration('alone', {lacking: 1}),
		];
		expect(orderCheckpoint(generations)).to.deep.equal(['alone', 'long', 'unwritten', 'usual']);
	});

	it('leaves out generations with few new events', () => {
		expect(orderCheckpoint([createGeneration('a', {writtenEvents: 35}), createGeneration('b', {writtenEvents: 34})])).to.deep.equal(['b']);
	});
});
