import {expect} from 'chai';
import {findTrialDelayMs, trialMs} from '../src/index.js';

describe('findTrialDelayMs', () => {
	it('gives each host one turn in each round, and never two hosts at a time', () => {
		const hostCount = 5;
		const turns = Array.from({length: hostCount}, () => 0);
		for (let sinceTermMs = 0; sinceTermMs < 2 * hostCount * trialMs; sinceTermMs += trialMs / 4) {
			const open = turns.flatMap((_, rank) => findTrialDelayMs({rank, hostCount, sinceTermMs}) === 0 ? [rank] : []);
			expect(open.length).to.be.at.most(1);
			for (const rank of open) {
				turns[rank]! += 1;
			}
		}

		expect(turns).to.deep.equal([4, 4, 4, 4, 4]);
	});

	it('tells the time until the next turn', () => {
		expect([0, 2000, 3000, 6000].map(sinceTermMs => findTrialDelayMs({rank: 0, hostCount: 1, sinceTermMs}))).to.deep.equal([0, 0, 3000, 0]);
		expect(findTrialDelayMs({rank: 2, hostCount: 3, sinceTermMs: 1000})).to.equal(11_000);
	});
});
