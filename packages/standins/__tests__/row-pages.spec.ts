import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {readPages} from '@wasabiusher/backends';
import {MemoryRowStore} from '../src/index.js';

describe('readPages', () => {
	it('reads each row of a range once, in key order, over any number of pages', async () => {
		const store = new MemoryRowStore();
		const keys = Array.from({length: 23}, (_, i) => `k${String(i).padStart(2, '0')}`);
		await store.commit({
			conditions: [], puts: keys.map(key => ({
				table: 't', part: '', key, value: Buffer.from('v'),
			})), deletes: [],
		});
		const found: string[][] = [];
		for await (const {rows} of readPages(store, {
			table: 't', part: '', from: 'k01', to: 'k21', limit: 5,
		})) {
			found.push(rows.map(({key}) => key));
		}

		expect(found.flat()).to.deep.equal(keys.slice(1, 21));
		expect(found.length).to.equal(4);
	});
});
