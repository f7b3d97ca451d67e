/**
 * Collects the buffers of released bodies.
 *
 * Their memory is outside the JavaScript heap, so the heap's own limits start a collection only after tens of megabytes, which may be more than the host has.
 */
import process from 'node:process';

/** Returns a function that collects buffers that are not used any more; undefined unless Node.js was started with `--expose-gc`. */
export function createCollector(): (() => void) | undefined {
	const {gc} = globalThis;
	if (!gc) {
		return undefined;
	}

	return () => {
		const before = process.memoryUsage().arrayBuffers;
		// Most bodies are young, and a minor collection takes a few milliseconds.
		gc({type: 'minor'});
		if (process.memoryUsage().arrayBuffers > before / 2) {
			gc();
		}
	};
}
