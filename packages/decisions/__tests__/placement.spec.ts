import {expect} from 'chai';
import {
	DemandHistory, planPlacement, type Demand, type PlacedEndpoint,
} from '../src/index.js';

const costMs = () => 15_000;

function createHolders(names: string, changedAt = -1e9): PlacedEndpoint[] {
	return [...names].map((holds, i) => ({id: `e${i}`, holds, changedAt}));
}

function createDemand(name: string, total: number, interactive = 0): Demand {
	return {name, total, interactive};
}

describe('planPlacement', () => {
	it('moves endpoints to where work waits', () => {
		const changes = planPlacement(createHolders('aaaabb'), [createDemand('a', 2), createDemand('b', 4)], {costMs}, 0);
		expect(changes.map(({from, to}) => `${from}${to}`)).to.deep.equal(['ab', 'ab']);
	});

	it('changes nothing for a gain below its cost', () => {
		const holders = createHolders('aaaabb');
		expect(planPlacement(holders, [createDemand('a', 3.6), createDemand('b', 2.4)], {costMs}, 0)).to.deep.equal([]);
		expect(planPlacement(holders, [createDemand('a', 2), createDemand('b', 4)], {costMs: () => 60_000}, 0)).to.deep.equal([]);
	});

	it('does not change an endpoint again soon, and changes few at the same time', () => {
		const demands = [createDemand('a', 0), createDemand('b', 6)];
		expect(planPlacement(createHolders('aaaaaa', -60_000), demands, {costMs}, 0)).to.deep.equal([]);
		expect(planPlacement(createHolders('aaaaaa'), demands, {costMs}, 0)).to.have.lengthOf(2);
		const changing = createHolders('aaaaaa').map((holder, i) => ({...holder, isChanging: i < 2}));
		expect(planPlacement(changing, demands, {costMs}, 0)).to.deep.equal([]);
	});

	it('keeps the endpoints that interactive callers need, whatever the demand of rollouts', () => {
		const changes = planPlacement(createHolders('aab'), [createDemand('a', 1, 1), createDemand('b', 9)], {costMs, maxChanging: 3}, 0);
		expect(changes).to.deep.equal([]);
		const needed = planPlacement(createHolders('bbb'), [createDemand('a', 0.1, 0.1), createDemand('b', 9)], {costMs}, 0);
		expect(needed.map(({to}) => to)).to.deep.equal(['a']);
	});

	it('does not thrash when three trainers\' demand alternates', () => {
		let holders = createHolders('aabbcc');
		const history = new DemandHistory();
		let changed = 0;
		for (let now = 0; now < 3_600_000; now += 1000) {
			const busy = 'abc'[Math.floor(now / 20_000) % 3];
			for (const name of 'abc') {
				history.record(createDemand(name, name === busy ? 6 : 1), now);
			}

			const changes = planPlacement(holders, history.list(), {costMs}, now);
			changed += changes.length;
			holders = holders.map(holder => {
				const change = changes.find(({id}) => id === holder.id);
				return change ? {...holder, holds: change.to, changedAt: now} : holder;
			});
		}

		// At most one change per endpoint in ten minutes, although demand shifted 180 times.
		expect(changed).to.be.at.most(36);
	});
});
