import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {assignModels, type ModelEndpoint, type ModelDemand} from '../src/index.js';

function createEndpoint(id: string, versions: Record<string, number>, paceMs?: number): ModelEndpoint {
	return {id, versions: new Map(Object.entries(versions)), paceMs};
}

function assign(modelEndpoints: readonly ModelEndpoint[], published: Record<string, number> = {}, demands: Record<string, ModelDemand> = {}): Map<string, readonly string[]> {
	return assignModels({endpoints: modelEndpoints, published: new Map(Object.entries(published)), demands: new Map(Object.entries(demands))});
}

function countAssigned(assignments: ReadonlyMap<string, readonly string[]>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const model of [...assignments.values()].flat().toSorted()) {
		counts[model] = (counts[model] ?? 0) + 1;
	}

	return counts;
}

/** Returns the endpoints after each has loaded the published version of its assigned model. */
function loadAssignedModels(modelEndpoints: readonly ModelEndpoint[], assignments: ReadonlyMap<string, readonly string[]>, published: Record<string, number>): ModelEndpoint[] {
	return modelEndpoints.map(({id, versions, paceMs}) => {
		const [model] = assignments.get(id)!;
		return {id, versions: new Map([...versions, [model!, published[model!]!]]), paceMs};
	});
}

/** Demand of three trainers: one with short generations, two with long ones and over twice the work. */
const demands: Record<string, ModelDemand> = {
	a: {work: 31_000, longest: 4000}, b: {work: 75_000, longest: 10_500}, c: {work: 77_000, longest: 10_400},
};

/**
 * Replays one step of each trainer on its model's endpoints; generations have heavy-tailed lengths, and an endpoint is slower the more it runs.
 *
 * @returns time by which every trainer has nine tenths of its groups complete, in milliseconds
 */
function replay(seed: number, assignments: ReadonlyMap<string, readonly string[]>, speeds: Readonly<Record<string, number>>): number {
	const random = new Random(seed);
	const steps = {a: {groups: 14, meanEvents: 10, maxEvents: 70}, b: {groups: 13, meanEvents: 25, maxEvents: 181}, c: {groups: 13, meanEvents: 25, maxEvents: 181}};
	return Math.max(...Object.entries(steps).map(([model, {groups, meanEvents, maxEvents}]) => {
		const ids = [...assignments].filter(([, models]) => models.includes(model)).map(([id]) => id);
		const slots = ids.flatMap(id => Array.from({length: 16}, () => ({freeAt: 0, paceMs: speeds[id]! * (34.3 + (0.45 * 16))})));
		const groupEndsAt = Array.from({length: groups}, () => Math.max(...Array.from({length: 4}, () => {
			const events = Math.min(maxEvents, Math.ceil(random.exponential(meanEvents) * (random.next() < 0.08 ? 5 : 1)));
			const slot = slots.toSorted((x, y) => (x.freeAt + (events * x.paceMs)) - (y.freeAt + (events * y.paceMs)))[0]!;
			slot.freeAt += events * slot.paceMs;
			return slot.freeAt;
		})));
		return groupEndsAt.toSorted((x, y) => x - y)[Math.ceil(0.9 * groups) - 1]!;
	}));
}

describe('assignModels', () => {
	const fresh = Array.from({length: 6}, (_, i) => createEndpoint(`e${i}`, {a: 1, b: 1, c: 1}));

	it('assigns one model to each endpoint, evenly while the demand is unknown', () => {
		const assignments = assign(fresh);
		expect(countAssigned(assignments)).to.deep.equal({a: 2, b: 2, c: 2});
		expect([...assignments.values()].every(models => models.length === 1)).to.equal(true);
	});

	it('divides the endpoints by the work of the steps', () => {
		const counts = countAssigned(assign(fresh, {}, demands));
		expect(counts.a).to.equal(1);
		expect(counts).to.satisfy(({b, c}: Record<string, number>) => b! + c! === 5 && Math.abs(b! - c!) === 1);
		expect(countAssigned(assign(fresh.slice(0, 5), {}, demands))).to.deep.equal({a: 1, b: 2, c: 2});
	});

	it('keeps the model of an endpoint, whichever trainer publishes more often', () => {
		const modelEndpoints = [
			createEndpoint('e0', {a: 1, b: 4}), createEndpoint('e1', {a: 40, b: 1}), createEndpoint('e2', {a: 1, b: 3}), createEndpoint('e3', {a: 39, b: 2}),
		];
		const assignments = assign(modelEndpoints, {a: 40, b: 4});
		expect(modelEndpoints.flatMap(({id}) => assignments.get(id)!)).to.deep.equal(['b', 'a', 'b', 'a']);
	});

	it('does not oscillate between two models of nearly the same work', () => {
		const published = {a: 9, b: 5, c: 6};
		const first = assign(fresh, published, demands);
		let modelEndpoints = loadAssignedModels(fresh, first, published);
		for (const [work, next] of [[83_000, 10], [70_000, 11], [81_000, 12]] as const) {
			const changed = {...demands, b: {work, longest: 10_500}};
			const versions = {a: next, b: next, c: next};
			const assignments = assign(modelEndpoints, versions, changed);
			expect([...assignments]).to.deep.equal([...first]);
			modelEndpoints = loadAssignedModels(modelEndpoints, assignments, versions);
		}
	});

	it('reassigns an endpoint once another model has a clearly larger shortage', () => {
		const published = {a: 9, b: 5, c: 6};
		const modelEndpoints = loadAssignedModels(fresh, assign(fresh, published), published);
		const counts = countAssigned(assign(modelEndpoints, {a: 10, b: 6, c: 7}, demands));
		expect(counts.a).to.equal(1);
	});

	it('swaps a slow endpoint of a model with long generations for a fast one of a model with short generations', () => {
		const published = {a: 2, b: 2, c: 2};
		const speeds: Record<string, number> = {};
		const modelEndpoints = fresh.map(({id, versions}, i) => {
			speeds[id] = i < 2 ? 47 : 36;
			return {id, versions, paceMs: speeds[id]};
		});
		const assignments = assign(modelEndpoints, published, demands);
		const countSlow = (model: string) => [...assignments].filter(([id, [own]]) => own === model && speeds[id] === 47).length;
		expect(countSlow('a')).to.equal(1);
		expect(assign(loadAssignedModels(modelEndpoints, assignments, published), published, demands)).to.deep.equal(assignments);
	});

	it('divides the fast endpoints among all models with long generations, and keeps them when paces are measured again', () => {
		const models = ['a', 'b', 'c', 'd'];
		const published = Object.fromEntries(models.map(model => [model, 1]));
		const unequalDemands: Record<string, ModelDemand> = {
			a: {work: 2350, longest: 152}, b: {work: 1930, longest: 145}, c: {work: 1390, longest: 125}, d: {work: 2250, longest: 145},
		};
		const modelEndpoints = Array.from({length: 31}, (_, i) => createEndpoint(`e${i}`, published, i % 4 === 0 ? 26 : 55));
		const countFast = (assignments: ReadonlyMap<string, readonly string[]>) =>
			models.map(model => modelEndpoints.filter(({id, paceMs}) => paceMs === 26 && assignments.get(id)![0] === model).length);
		const assignments = assign(modelEndpoints, published, unequalDemands);
		expect(Math.min(...countFast(assignments))).to.be.at.least(1);
		expect(Math.max(...countFast(assignments))).to.be.at.most(3);
		const last = new Map([...assignments].map(([id, [model]]) => [id, model!]));
		const measured = modelEndpoints.map((endpoint, i) => ({...endpoint, paceMs: endpoint.paceMs! + (i % 3)}));
		expect(assignModels({
			endpoints: measured, published: new Map(Object.entries(published)), demands: new Map(Object.entries(unequalDemands)), last,
		})).to.deep.equal(assignments);
	});

	it('assigns every endpoint, whatever demand is reported', () => {
		for (const workByModel of [[100, -100], [1e308, 1e308], [Number.NaN, 1], [0, 0]]) {
			const invalidDemands: Record<string, ModelDemand> = {a: {work: workByModel[0]!, longest: 1}, b: {work: workByModel[1]!, longest: -1}};
			expect(assign(fresh, {}, invalidDemands).size).to.equal(6);
		}
	});

	it('keeps the last assignments even if no endpoint shows yet which model it follows', () => {
		const last = new Map(fresh.map(({id}, i) => [id, ['a', 'b', 'c'][i % 3]!]));
		const assignments = assignModels({
			endpoints: fresh, published: new Map([['a', 2], ['b', 1], ['c', 1]]), demands: new Map(), last,
		});
		expect(fresh.map(({id}) => assignments.get(id)![0])).to.deep.equal(['a', 'b', 'c', 'a', 'b', 'c']);
	});

	it('keeps endpoints that are slower only because of their load', () => {
		const published = {a: 2, b: 2, c: 2};
		const assignments = assign(fresh, published, demands);
		const modelEndpoints = loadAssignedModels(fresh, assignments, published).map((endpoint, i) => ({...endpoint, paceMs: i % 2 === 0 ? 42 : 36}));
		expect(assign(modelEndpoints, {a: 3, b: 3, c: 3}, demands)).to.deep.equal(assignments);
	});

	it('divides evenly, or not at all, according to the policy', () => {
		const input = {endpoints: fresh, published: new Map<string, number>(), demands: new Map(Object.entries(demands))};
		expect(countAssigned(assignModels(input, 'even'))).to.deep.equal({a: 2, b: 2, c: 2});
		expect(countAssigned(assignModels(input, 'all-models'))).to.deep.equal({a: 6, b: 6, c: 6});
	});

	it('assigns an endpoint to every model when endpoints are lost', () => {
		const assignments = assign(fresh.slice(0, 3), {}, demands);
		expect([...assignments.values()].flat().toSorted()).to.deep.equal(['a', 'b', 'c']);
		expect([...assign(fresh.slice(0, 2)).values()].every(models => models.length === 3)).to.equal(true);
		expect(countAssigned(assign(fresh, {}, {b: {work: 5, longest: 5}}))).to.deep.equal({a: 1, b: 4, c: 1});
	});

	it('assigns every endpoint to the only model', () => {
		expect([...assign([createEndpoint('x', {a: 2}), createEndpoint('y', {a: 1})]).values()]).to.deep.equal([['a'], ['a']]);
	});

	it('completes the last of three unequal steps earlier than with even shares, on endpoints of which two are slower', () => {
		const speeds = Object.fromEntries(fresh.map(({id}, i) => [id, i % 3 === 2 ? 1.3 : 1]));
		const modelEndpoints = fresh.map(endpoint => ({...endpoint, paceMs: 36 * speeds[endpoint.id]!}));
		const seeds = Array.from({length: 30}, (_, i) => i + 1);
		const averageEndMs = (assignments: ReadonlyMap<string, readonly string[]>) => seeds.reduce((sum, seed) => sum + replay(seed, assignments, speeds), 0) / seeds.length;
		expect(averageEndMs(assign(modelEndpoints, {}, demands))).to.be.lessThan(0.95 * averageEndMs(assign(fresh)));
	});
});
