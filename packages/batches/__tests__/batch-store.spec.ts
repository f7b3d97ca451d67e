import {randomBytes} from 'node:crypto';
import {expect} from 'chai';
import {MemoryRowStore} from '@wasabiusher/standins';
import {BatchStore, type BatchRecord} from '../src/index.js';
import {createSubmission} from './fixtures.js';

describe('BatchStore', () => {
	it('stores a submission of any size, in objects that the store accepts, and removes all of them', async () => {
		for (const [bodyBytes, objects] of [[100, 0], [600_000, 1], [14_000_000, 2]] as const) {
			const rows = new MemoryRowStore();
			const sizes = new Map<string, number>();
			const store = new BatchStore(rows, {
				async put(name, content) {
					sizes.set(name, content.length);
					await rows.put(name, content);
				},
				async get(name) {
					return rows.get(name);
				},
				async drop(name) {
					sizes.delete(name);
					await rows.drop(name);
				},
			});
			const submission = createSubmission(1);
			submission.samples[0]!.body = randomBytes(bodyBytes).toString('base64');
			// eslint-disable-next-line no-await-in-loop
			const {object, rows: extraRows} = await store.prepareSubmission('a,b', submission);
			expect([sizes.size, Math.max(0, ...sizes.values()) <= 8 * 1_048_576]).to.deep.equal([objects, true]);
			const record: BatchRecord = {
				id: 'a,b', shares: [], series: '', isEnded: true, object, total: 1, model: '', expectedTokens: 0, longestTokens: 0, customer: '', acceptedMs: 0,
			};
			// eslint-disable-next-line no-await-in-loop
			const version = await store.write(record, 0, extraRows);
			// eslint-disable-next-line no-await-in-loop
			expect(await store.readSubmission(record)).to.deep.equal(submission);
			// eslint-disable-next-line no-await-in-loop
			await store.remove({record, version: version!});
			expect(sizes.size).to.equal(0);
		}
	});
});
