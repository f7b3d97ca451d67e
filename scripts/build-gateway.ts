/**
 * Bundles the gateway into `target/`, from where deploy/system.toml starts it.
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
	// Bundled CommonJS libraries call `require`, which ES modules do not define.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
});
