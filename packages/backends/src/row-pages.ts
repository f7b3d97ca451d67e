/**
 * Pagination of reads from the row store.
 */
import type {RowPage, RowRange, RowStore} from './row-store.js';

/** Reads a range page by page; `limit` is the page size. Each page is a snapshot of its own. Throws the errors of the store. */
export async function * readPages(store: Pick<RowStore, 'read'>, range: RowRange): AsyncIterable<RowPage> {
	let {from} = range;
	for (;;) {
		// Each page starts after the end of the previous one.
		// eslint-disable-next-line no-await-in-loop
		const page = await store.read({...range, from});
		yield page;
		const last = page.rows.at(-1);
		if (!page.hasMore || !last) {
			return;
		}

		// The smallest key that is greater than the last one.
		from = `${last.key}\u0000`;
	}
}
