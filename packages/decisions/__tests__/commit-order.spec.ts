import {expect} from 'chai';
import {groupBy} from '@wasabiusher/shared';
import {
	chooseCommit, countCompleted, planCommit, type CommitDemand, type WaitingResult,
} from '../src/index.js';

function createResults(...groups: string[]): Map<string, WaitingResult[]> {
	return groupBy(groups.map((group, i) => ({
		id: `${group}${i}`, group, bytes: 100, addedAt: i,
	})), ({group}) => group);
}

function createList(name: string, changes: Partial<CommitDemand> = {}) {
	return {
		name, demand: {
			completes: 0, openGroups: 4, priority: 5, addedAt: 0, ...changes,
		},
	};
}

describe('commit order', () => {
	const missing = new Map([['a', 3], ['b', 2], ['c', 4]]);

	it('commits groups that become complete before older results of incomplete groups', () => {
		const waiting = createResults('a', 'c', 'b', 'a', 'b');
		const planned = planCommit(waiting, missing, {results: 2, bytes: 1000});
		expect(planned.map(({group}) => group)).to.deep.equal(['b', 'b']);
		expect(countCompleted(planned, missing)).to.equal(1);
		expect(planCommit(waiting, missing, {results: 9, bytes: 1000}).map(({group}) => group)).to.deep.equal(['b', 'b', 'a', 'a', 'c']);
	});

	it('stays within the bytes of a transaction, but takes one result of any size', () => {
		expect(planCommit(createResults('a', 'a', 'a'), missing, {results: 9, bytes: 250})).to.have.length(2);
		expect(planCommit(createResults('a', 'a', 'a'), missing, {results: 9, bytes: 50})).to.have.length(1);
	});

	it('prefers a list that completes a group, then the more urgent one, then the step that is closest to completion, then the oldest', () => {
		const lists = [
			createList('old'),
			createList('near', {openGroups: 1, addedAt: 9}),
			createList('urgent', {priority: 1, addedAt: 9}),
			createList('whole', {completes: 1, addedAt: 9}),
		];
		const order: string[] = [];
		for (let remaining = lists; remaining.length > 0;) {
			const chosen = chooseCommit(remaining, 0)!;
			order.push(chosen.name);
			remaining = remaining.filter(list => list !== chosen);
		}

		expect(order).to.deep.equal(['whole', 'urgent', 'near', 'old']);
	});

	it('gives a quarter of the rounds to the oldest list, even if others always complete groups', () => {
		const lists = [createList('old'), createList('whole', {completes: 1, addedAt: 9})];
		const names = Array.from({length: 8}, (_, round) => chooseCommit(lists, round)!.name);
		expect(names.filter(name => name === 'old')).to.have.length(2);
	});
});
