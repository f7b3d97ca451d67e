import {expect} from 'chai';
import {maxWriteBytes} from '../src/batch-store.js';
import {PendingResults} from '../src/pending-results.js';

describe('PendingResults', () => {
	it('plans no transaction above the byte limit of the store, also for texts of multi-byte characters', () => {
		const ids = ['s0', 's1', 's2', 's3'];
		const pending = new PendingResults(ids.map(id => ({
			id, path: '/', headers: {}, body: '', group: 'g',
		})), true);
		for (const id of ids) {
			pending.add({
				id, state: 'made', text: 'ő'.repeat(maxWriteBytes / 4), versions: [1],
			}, {});
		}

		expect(pending.plan()).to.have.length(2);
	});
});
