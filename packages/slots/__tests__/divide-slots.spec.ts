import {expect} from 'chai';
import {chooseCoordinator, divideSlots, listCoordinatorCandidates} from '../src/index.js';
import {createWant} from './fixtures.js';

describe('divideSlots', () => {
	it('serves the most urgent class first, and the earliest due within it, whichever host has it', () => {
		const claims = [
			{host: 'a', wants: [createWant(2, {urgency: 2, dueInMs: 10})], waitedMs: 0},
			{host: 'b', wants: [createWant(1, {dueInMs: 500}), createWant(1, {dueInMs: 900})], waitedMs: 0},
			{host: 'c', wants: [createWant(1, {dueInMs: 700})], waitedMs: 0},
		];
		expect([1, 2, 3].map(free => Object.fromEntries(divideSlots(free, claims, 0)))).to.deep.equal([{b: 1}, {b: 1, c: 1}, {b: 2, c: 1}]);
	});

	it('grants all free slots while they are wanted, and no more than are wanted', () => {
		const claims = [{host: 'a', wants: [createWant(5)], waitedMs: 0}, {host: 'b', wants: [createWant(1)], waitedMs: 0}];
		expect(Object.fromEntries(divideSlots(3, claims, 0))).to.deep.equal({a: 3});
		expect(Object.fromEntries(divideSlots(4, claims, 0))).to.deep.equal({a: 3, b: 1});
		expect(Object.fromEntries(divideSlots(20, claims, 0))).to.deep.equal({a: 5, b: 1});
		expect([...divideSlots(3, [], 0)]).to.deep.equal([]);
	});

	it('grants each host at least a quarter of the average', () => {
		const waits = new Map([['a', 0], ['b', 0], ['late', 0]]);
		const counts = new Map<string, number>();
		for (let turn = 0; turn < 400; turn += 1) {
			const claims = [...waits].map(([host, waitedMs]) => ({host, wants: [createWant(10, {urgency: host === 'late' ? 5 : 0})], waitedMs}));
			for (const [host] of divideSlots(1, claims, turn)) {
				counts.set(host, (counts.get(host) ?? 0) + 1);
				waits.set(host, -1);
			}

			for (const [host, waitedMs] of waits) {
				waits.set(host, waitedMs + 1);
			}
		}

		expect(counts.get('late')).to.be.at.least(400 / 3 / 4);
	});
});

describe('chooseCoordinator', () => {
	const hosts = Array.from({length: 6}, (_, i) => ({
		host: `h${i}`, address: `10.0.0.${i}:1`, dataCentre: i < 4 ? 'd' : 'e', cores: i === 0 ? 1.2 : 0.3, isResting: false, lateMs: 0, silentMs: 100,
	}));
	const endpoints = Array.from({length: 2000}, (_, i) => `i${i}`);
	const choose = (candidates: typeof hosts, dataCentre = 'd') => endpoints.map(endpoint => chooseCoordinator(endpoint, dataCentre, candidates)?.host);

	it('prefers the data centre of the endpoint, gives more endpoints to hosts with more cores, and moves only those of a lost host', () => {
		const all = choose(hosts);
		expect(new Set(all)).to.deep.equal(new Set(['h0', 'h1', 'h2', 'h3']));
		const count = all.filter(host => host === 'h0').length;
		expect(count).to.be.within(2000 * 0.5, 2000 * 0.64);
		const without = choose(hosts.filter(({host}) => host !== 'h3'));
		expect(all.every((host, i) => host === 'h3' || host === without[i])).to.equal(true);
		expect(new Set(choose(hosts, 'nowhere')).size).to.equal(6);
	});

	it('excludes hosts that lag, are silent while they work, or have no address', () => {
		const [first] = hosts;
		const candidates = [first!, {...first!, lateMs: 60}, {...first!, silentMs: 2000}, {...first!, address: ''}, {...first!, silentMs: 60_000, isResting: true}];
		expect(listCoordinatorCandidates(candidates)).to.deep.equal([candidates[0], candidates[4]]);
		expect(chooseCoordinator('i', 'd', [])).to.equal(undefined);
	});
});
