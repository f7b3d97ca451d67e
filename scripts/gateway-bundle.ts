/**
 * Bundles the gateway into one file that `node` runs without installed packages.
 */
import {build} from 'esbuild';

/** Writes the bundle to a file. */
export async function bundleGateway(outfile: string): Promise<void> {
	await build({
		entryPoints: ['platform/src/main.ts'],
		outfile,
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		minify: false,
		sourcemap: false,
		// Bundled CommonJS libraries call `require`, which ES modules do not define.
		banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
		external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
	});
}
