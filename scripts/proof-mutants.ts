/**
 * `npm run mutants:proof`: bundles the proof with one mutant applied at a time and reports which mutants its runs detect.
 */
import {readFile, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {build, type Plugin} from 'esbuild';
import {
	mutants, type Edit, type Mutant, type Path,
} from '../packages/proof/src/index.js';

/** The exports of a bundled proof that are used here. */
type Proof = {findBrokenRun(paths: readonly Path[], randomRuns: number): Promise<string | undefined>};

/** Number of random runs, after the matrix of single faults, before a mutant counts as not caught. */
const randomRuns = 100;

/** Directory of the bundles, inside that of the programs. It is removed at the end. */
const outputDirectory = path.resolve('dist/mutants');

function applyEdits(text: string, edits: readonly Edit[]): string {
	let edited = text;
	for (const {file, from, to} of edits) {
		const parts = edited.split(from);
		if (parts.length !== 2) {
			throw new Error(`${file} contains the mutant's text ${parts.length - 1} times, expected exactly once: ${from}`);
		}

		edited = parts.join(to);
	}

	return edited;
}

function createPlugin({edits}: Mutant): Plugin {
	return {
		name: 'mutant',
		setup(setupBuild) {
			// Esbuild evaluates filters as Go regular expressions, which do not support the flag `v`.
			// eslint-disable-next-line require-unicode-regexp
			setupBuild.onLoad({filter: /\.ts$/}, async ({path: loaded}) => {
				const wanted = edits.filter(({file}) => path.resolve(file) === loaded);
				if (wanted.length === 0) {
					return undefined;
				}

				const text = await readFile(loaded, 'utf8');
				return {contents: applyEdits(text, wanted), loader: 'ts'};
			});
		},
	};
}

async function loadProof(mutant: Mutant, index: number): Promise<Proof> {
	const outfile = path.join(outputDirectory, `${index}.mjs`);
	await build({
		entryPoints: ['packages/proof/src/index.ts'],
		outfile,
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\'; const require = createBundleRequire(import.meta.url);'},
		external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
		plugins: [createPlugin(mutant)],
	});
	// The bundle has the exports of the package's index.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return await import(pathToFileURL(outfile).href) as Proof;
}

let missed = 0;
for (const [index, mutant] of mutants.entries()) {
	// Mutants run one after the other because each run replaces the process's clock.
	// eslint-disable-next-line no-await-in-loop
	const proof = await loadProof(mutant, index);
	// eslint-disable-next-line no-await-in-loop
	const caught = await proof.findBrokenRun(mutant.paths, randomRuns);
	missed += caught === undefined ? 1 : 0;
	process.stdout.write(`${caught === undefined ? 'NOT CAUGHT' : 'caught'}: ${mutant.title}${caught === undefined ? '' : ` (${caught.slice(0, 160)})`}\n`);
}

await rm(outputDirectory, {recursive: true, force: true});
process.stdout.write(`${mutants.length - missed} caught, ${missed} not caught\n`);
process.exitCode = missed === 0 ? 0 : 1;
