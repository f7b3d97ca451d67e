/**
 * Reading of a range of rows that is longer than one answer of the store.
 */
import type {RowPage, RowRange, RowStore} from './row-store.js';

/** Reads a range page by page, each as of a moment of its own; `limit` is that of a page. Throws what the store throws. */
export async function * readPages(store: Pick<RowStore, 'read'>, range: RowRange): AsyncIterable<RowPage> {
	let {from} = range;
	for (;;) {
		// Each page begins where the one before has ended.
		// eslint-disable-next-line no-await-in-loop
		const page = await store.read({...range, from});
		yield page;
		const last = page.rows.at(-1);
		if (!page.hasMore || !last) {
			return;
		}

		// The smallest key that comes after the last one.
		from = `${last.key}\u0000`;
	}
}
