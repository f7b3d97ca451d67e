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
		count: 1, samples: 30, lastWorkers: [], endpoints: new Map([['d1', 9], ['d2', 9]]), rank: id => Number(id.slice(1)), ...changes,
	};
}

const working = {isResting: false, silentMs: 300};

describe('countShares', () => {
	const request: ShareRequest = {
		samples: 160, groups: 20, hosts: 88, endpoints: 27,
	};

	it('divides a large batch and leaves a small one to one host', () => {
		expect(countShares(request)).to.equal(5);
		expect(countShares({...request, samples: 4, groups: 1})).to.equal(1);
	});

	it('limits the hosts that append to the list of results to sixteen', () => {
		expect(countShares({
			samples: 2048, groups: 256, hosts: 1700, endpoints: 10_000,
		})).to.equal(16);
	});

	it('uses at most a quarter of the hosts, with three endpoints and a group per share', () => {
		expect(countShares({...request, hosts: 8})).to.equal(2);
		expect(countShares({...request, hosts: 1})).to.equal(1);
		expect(countShares({...request, endpoints: 13.5})).to.equal(4);
		expect(countShares({...request, endpoints: 2})).to.equal(1);
		expect(countShares({...request, groups: 2})).to.equal(2);
	});
});

describe('chooseWorkers', () => {
	it('keeps each share at its last host while that one is alive, responsive and has free capacity', () => {
		const candidates = [createCandidate('c1', working), createCandidate('c2', working), createCandidate('c3')];
		const request = createRequest({count: 2, lastWorkers: ['c2', 'c1']});
		expect(chooseWorkers(candidates, request)).to.deep.equal(['c2', 'c1']);
		const changes: Array<Partial<WorkerCandidate>> = [{silentMs: 1000}, {lateMs: 60}, {samples: 120}];
		for (const change of changes) {
			const changed = [{...candidates[0]!, ...change}, ...candidates.slice(1)];
			expect(chooseWorkers(changed, request), JSON.stringify(change)).to.deep.equal(['c2', 'c3']);
		}
	});

	it('assigns the shares of 160 generations to large hosts in all data centres, and none to many small ones', () => {
		const large = Array.from({length: 10}, (_, i) => createCandidate(`c${i}`, {dataCentre: `d${i % 5}`}));
		const small = Array.from({length: 40}, (_, i) => createCandidate(`c${100 + i}`, {dataCentre: `d${i % 5}`, cores: 0.243}));
		const endpoints = new Map(Array.from({length: 5}, (_, i) => [`d${i}`, 5]));
		const chosen = chooseWorkers([...small, ...large], createRequest({count: 5, samples: 32, endpoints}));
		const dataCentres = chosen.map(id => large.find(candidate => candidate.id === id)?.dataCentre);
		expect(dataCentres.toSorted((a, b) => a! < b! ? -1 : 1)).to.deep.equal(['d0', 'd1', 'd2', 'd3', 'd4']);
	});

	it('assigns no new share to a host that misses heartbeats or lags, and uses a small one rather than none', () => {
		const candidates = [
			createCandidate('c1', {isResting: false, silentMs: 1000}), createCandidate('c2', {lateMs: 20}), createCandidate('c3', {cores: 0.243}),
		];
		expect(chooseWorkers(candidates, createRequest())).to.deep.equal(['c3']);
		expect(chooseWorkers(candidates, createRequest({count: 3}))).to.deep.equal(['c3']);
	});

	it('prefers the deciding host if it has free capacity, and otherwise the one with the most', () => {
		const decidingHost = createCandidate('c1', {isHere: true, cores: 0.243});
		const candidates = [decidingHost, createCandidate('c2', {samples: 40}), createCandidate('c3')];
		expect(chooseWorkers(candidates, createRequest({samples: 4}))).to.deep.equal(['c1']);
		expect(chooseWorkers(candidates, createRequest({samples: 30}))).to.deep.equal(['c3']);
	});

	it('chooses different hosts for different trainers among equal ones', () => {
		const candidates = [createCandidate('c1'), createCandidate('c2')];
		expect(chooseWorkers(candidates, createRequest({rank: id => id === 'c1' ? 1 : 0}))).to.deep.equal(['c1']);
		expect(chooseWorkers(candidates, createRequest({rank: id => id === 'c2' ? 1 : 0}))).to.deep.equal(['c2']);
	});
});

describe('divideGroups', () => {
	it('divides groups evenly, and gives long ones to every share', () => {
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

	it('divides endpoints evenly among workers, local ones first', () => {
		const shares = divideEndpoints(endpoints, ['d1', 'd2', 'd3']);
		expect(shares).to.deep.equal([['a', 'b', 'c'], ['e', 'f', 'g'], ['d']]);
		expect(divideEndpoints(endpoints.slice(0, 1), ['d2', 'd1'])).to.deep.equal([[], ['a']]);
	});

	it('divides the fast endpoints evenly, wherever they are, and assigns every endpoint', () => {
		const uneven = endpoints.map(endpoint => ({...endpoint, isFast: ['a', 'b', 'c'].includes(endpoint.id)}));
		const shares = divideEndpoints(uneven, ['d1', 'd2', 'd3']);
		expect(shares.map(ids => ids.filter(id => ['a', 'b', 'c'].includes(id)).length)).to.deep.equal([1, 1, 1]);
		expect(shares.flat().toSorted()).to.deep.equal(endpoints.map(({id}) => id));
		expect(Math.max(...shares.map(ids => ids.length))).to.equal(3);
	});

	it('changes few other assignments when an endpoint is removed', () => {
		const many = Array.from({length: 24}, (_, i) => ({id: `i${i}`, dataCentre: 'd9'}));
		const find = (shares: string[][], id: string) => shares.findIndex(ids => ids.includes(id));
		const before = divideEndpoints(many, ['d1', 'd2', 'd3', 'd4']);
		const after = divideEndpoints(many.slice(1), ['d1', 'd2', 'd3', 'd4']);
		const moved = many.slice(1).filter(({id}) => find(before, id) !== find(after, id));
		expect(moved.length).to.be.at.most(6);
	});
});
