import {expect} from 'chai';
import {placeModels, type ModelHolder} from '../src/index.js';

function createHolder(id: string, versions: Record<string, number>): ModelHolder {
	return {id, versions: new Map(Object.entries(versions))};
}

describe('placeModels', () => {
	const fresh = Array.from({length: 6}, (_, i) => createHolder(`e${i}`, {a: 1, b: 1, c: 1}));

	it('lets each endpoint follow one model, evenly', () => {
		const placed = placeModels(fresh);
		const counts = ['a', 'b', 'c'].map(model => [...placed.values()].filter(models => models.includes(model)).length);
		expect(counts).to.deep.equal([2, 2, 2]);
		expect([...placed.values()].every(models => models.length === 1)).to.equal(true);
	});

	it('keeps an endpoint with the model that it has followed', () => {
		const holders = [createHolder('e0', {a: 1, b: 4}), createHolder('e1', {a: 4, b: 1}), createHolder('e2', {a: 1, b: 3}), createHolder('e3', {a: 3, b: 1})];
		const placed = placeModels(holders);
		expect(placed.get('e0')).to.deep.equal(['b']);
		expect(placed.get('e1')).to.deep.equal(['a']);
		expect(placed.get('e2')).to.deep.equal(['b']);
		expect(placed.get('e3')).to.deep.equal(['a']);
	});

	it('gives every model a place when endpoints are lost', () => {
		const placed = placeModels(fresh.slice(0, 3));
		expect([...placed.values()].flat().toSorted()).to.deep.equal(['a', 'b', 'c']);
		expect([...placeModels(fresh.slice(0, 2)).values()].every(models => models.length === 3)).to.equal(true);
	});

	it('lets every endpoint follow the only model', () => {
		expect([...placeModels([createHolder('x', {a: 2}), createHolder('y', {a: 1})]).values()]).to.deep.equal([['a'], ['a']]);
	});
});
