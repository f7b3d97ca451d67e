import {expect} from 'chai';
import {
	chooseWorkers, countShares, divideEndpoints, divideGroups, type ShareRequest, type WorkerCandidate, type WorkerRequest,
} from '../src/index.js';

function createCandidate(id: string, changes: Partial<WorkerCandidate> = {}): WorkerCandidate {
	return {
		id, dataCentre: 'd1', cores: 1.35, isResting: true, silentMs: 60_000, lateMs: 0, samples: 0, isHere: false, ...changes,
	};
}

function createRequest(changes: Partial<WorkerRequest> = {}): WorkerRequest {
	return {
		count: 1, samples: 30, last: [], endpoints: new Map([['d1', 9], ['d2', 9]]), rank: id => Number(id.slice(1)), ...changes,
	};
}

const working = {isResting: false, silentMs: 300};

describe('countShares', () => {
	const request: ShareRequest = {
		samples: 160, groups: 20, hosts: 88, endpoints: 27,
	};

	it('divides a great batch and leaves a small one to one host', () => {
		expect(countShares(request)).to.equal(5);
		expect(countShares({...request, samples: 4, groups: 1})).to.equal(1);
	});

	it('keeps the list of results from being written by more than sixteen hosts', () => {
		expect(countShares({
			samples: 2048, groups: 256, hosts: 1700, endpoints: 10_000,
		})).to.equal(16);
	});

	it('takes a quarter of the hosts at most, and leaves three endpoints and a group to each share', () => {
		expect(countShares({...request, hosts: 8})).to.equal(2);
		expect(countShares({...request, hosts: 1})).to.equal(1);
		expect(countShares({...request, endpoints: 13.5})).to.equal(4);
		expect(countShares({...request, endpoints: 2})).to.equal(1);
		expect(countShares({...request, groups: 2})).to.equal(2);
	});
});

describe('chooseWorkers', () => {
	it('keeps each share at the host that had it, while that one is alive, in time and has room', () => {
		const candidates = [createCandidate('c1', working), createCandidate('c2', working), createCandidate('c3')];
		const request = createRequest({count: 2, last: ['c2', 'c1']});
		expect(chooseWorkers(candidates, request)).to.deep.equal(['c2', 'c1']);
		const changes: Array<Partial<WorkerCandidate>> = [{silentMs: 1000}, {lateMs: 60}, {samples: 120}];
		for (const change of changes) {
			const changed = [{...candidates[0]!, ...change}, ...candidates.slice(1)];
			expect(chooseWorkers(changed, request), JSON.stringify(change)).to.deep.equal(['c2', 'c3']);
		}
	});

	it('gives the shares of 160 texts to large hosts in all data centres, and none to a herd of small ones', () => {
		const large = Array.from({length: 10}, (_, i) => createCandidate(`c${i}`, {dataCentre: `d${i % 5}`}));
		const small = Array.from({length: 40}, (_, i) => createCandidate(`c${100 + i}`, {dataCentre: `d${i % 5}`, cores: 0.243}));
		const endpoints = new Map(Array.from({length: 5}, (_, i) => [`d${i}`, 5]));
		const chosen = chooseWorkers([...small, ...large], createRequest({count: 5, samples: 32, endpoints}));
		const places = chosen.map(id => large.find(candidate => candidate.id === id)?.dataCentre);
		expect(places.toSorted((a, b) => a! < b! ? -1 : 1)).to.deep.equal(['d0', 'd1', 'd2', 'd3', 'd4']);
	});

	it('gives nothing new to a host that is silent though it works, or late, and takes a small one before none', () => {
		const candidates = [
			createCandidate('c1', {isResting: false, silentMs: 1000}), createCandidate('c2', {lateMs: 20}), createCandidate('c3', {cores: 0.243}),
		];
		expect(chooseWorkers(candidates, createRequest())).to.deep.equal(['c3']);
		expect(chooseWorkers(candidates, createRequest({count: 3}))).to.deep.equal(['c3']);
	});

	it('prefers the host that chooses if it has room, and otherwise the one with the most', () => {
		const here = createCandidate('c1', {isHere: true, cores: 0.243});
		const candidates = [here, createCandidate('c2', {samples: 40}), createCandidate('c3')];
		expect(chooseWorkers(candidates, createRequest({samples: 4}))).to.deep.equal(['c1']);
		expect(chooseWorkers(candidates, createRequest({samples: 30}))).to.deep.equal(['c3']);
	});

	it('lets trainers choose different hosts among equals', () => {
		const candidates = [createCandidate('c1'), createCandidate('c2')];
		expect(chooseWorkers(candidates, createRequest({rank: id => id === 'c1' ? 1 : 0}))).to.deep.equal(['c1']);
		expect(chooseWorkers(candidates, createRequest({rank: id => id === 'c2' ? 1 : 0}))).to.deep.equal(['c2']);
	});
});

describe('divideGroups', () => {
	it('gives each share as many groups, and long ones to all', () => {
		const groups = [9, 1, 8, 2, 7, 3, 6, 4].map((longest, i) => ({id: `g${i}`, longest}));
		const shares = divideGroups(groups, 3);
		expect(shares.flat().toSorted()).to.deep.equal(groups.map(({id}) => id));
		expect(shares.map(({length}) => length).toSorted((a, b) => a - b)).to.deep.equal([2, 3, 3]);
		const longest = shares.map(ids => Math.max(...groups.filter(({id}) => ids.includes(id)).map(group => group.longest)));
		expect(longest).to.deep.equal([9, 8, 7]);
		expect(divideGroups(groups, 1)).to.have.length(1);
	});
});

describe('divideEndpoints', () => {
	const endpoints = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((id, i) => ({id, dataCentre: i < 4 ? 'd1' : 'd2'}));

	it('gives each worker endpoints of its own, near ones first, as evenly as they can be', () => {
		const shares = divideEndpoints(endpoints, ['d1', 'd2', 'd3']);
		expect(shares).to.deep.equal([['a', 'b', 'c'], ['e', 'f', 'g'], ['d']]);
		expect(divideEndpoints(endpoints.slice(0, 1), ['d2', 'd1'])).to.deep.equal([[], ['a']]);
	});

	it('gives each worker its part of the fast endpoints, wherever they are, and forgets none', () => {
		const uneven = endpoints.map(endpoint => ({...endpoint, isFast: ['a', 'b', 'c'].includes(endpoint.id)}));
		const shares = divideEndpoints(uneven, ['d1', 'd2', 'd3']);
		expect(shares.map(ids => ids.filter(id => ['a', 'b', 'c'].includes(id)).length)).to.deep.equal([1, 1, 1]);
		expect(shares.flat().toSorted()).to.deep.equal(endpoints.map(({id}) => id));
		expect(Math.max(...shares.map(ids => ids.length))).to.equal(3);
	});

	it('changes little for the others when an endpoint goes', () => {
		const many = Array.from({length: 24}, (_, i) => ({id: `i${i}`, dataCentre: 'd9'}));
		const find = (shares: string[][], id: string) => shares.findIndex(ids => ids.includes(id));
		const before = divideEndpoints(many, ['d1', 'd2', 'd3', 'd4']);
		const after = divideEndpoints(many.slice(1), ['d1', 'd2', 'd3', 'd4']);
		const moved = many.slice(1).filter(({id}) => find(before, id) !== find(after, id));
		expect(moved.length).to.be.at.most(6);
	});
});
