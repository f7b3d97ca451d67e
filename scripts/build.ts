/**
 * Bundles each program into `dist/`: one file a program, to be run by Node.js alone.
 *
 * Each bundle is started once with `--version`: a program that runs from its sources may fail as a bundle,
 * as one did whose modules were loaded in another order.
 */
import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {build} from 'esbuild';

/** Programs by the name of their bundle. */
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
	// Bundled CommonJS libraries ask for `require`; some import `createRequire` themselves.
	banner: {js: '#!/usr/bin/env node\nimport {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
})));

for (const name of Object.keys(programs)) {
	const printed = execFileSync(process.execPath, [`dist/${name}.mjs`, '--version'], {encoding: 'utf8'});
	if (!printed.startsWith(`${name}/`)) {
		throw new Error(`dist/${name}.mjs --version printed "${printed.trim()}"`);
	}
}
