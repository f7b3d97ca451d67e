/**
 * Bundles the gateway into `target/`, as deploy/system.toml runs it.
 */
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/wasabiusher-gateway.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minify: false,
	sourcemap: false,
	// Bundled CommonJS libraries ask for `require`.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
});
