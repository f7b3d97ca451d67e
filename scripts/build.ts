/**
 * Bundles each program into one file in `dist/` that needs only Node.js.
 *
 * Each bundle is started once with `--version`, because a program that runs from its sources can fail as a bundle:
 * one did when bundling changed the order in which its modules were loaded.
 */
import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {build} from 'esbuild';

/** Entry points by the name of the bundle. */
const programs: Readonly<Record<string, string>> = {
	'wasabiusher-entry': 'packages/entry/src/main.ts',
	'wasabiusher-agent': 'packages/agent/src/main.ts',
	'wasabiusher-load': 'packages/load/src/main.ts',
	wasabiusher: 'packages/cli/src/main.ts',
	'wasabiusher-standins': 'packages/standins/src/main.ts',
};

await Promise.all(Object.entries(programs).map(async ([name, entryPoint]) => build({
	entryPoints: [entryPoint],
	outfile: `dist/${name}.mjs`,
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minify: true,
	// Bundled CommonJS libraries call `require`, which ES modules do not define. The alias avoids a clash with bundled modules that import `createRequire`.
	banner: {js: '#!/usr/bin/env node\nimport {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
})));

for (const name of Object.keys(programs)) {
	const printed = execFileSync(process.execPath, [`dist/${name}.mjs`, '--version'], {encoding: 'utf8'});
	if (!printed.startsWith(`${name}/`)) {
		throw new Error(`dist/${name}.mjs --version printed "${printed.trim()}"`);
	}
}
