/**
 * XO with its defaults; added is the direction of imports between packages:
 * each package may import only from those that stand below it in layers.
 */
const layers = [
	['embedded', 'proof'],
	['entry', 'agent', 'cli', 'load', 'gateway'],
	['standins'],
	['systems', 'batches'],
	['direct', 'duties'],
	['slots'],
	['decisions'],
	['record'],
	['link'],
	['backends'],
	['daemon'],
	['logs'],
	['shared'],
];

/** Decisions need no I/O, so of the packages below they may import only shared. */
const pure = 'decisions';

function listForbidden(layer) {
	const above = layers.slice(0, layer).flat();
	const beside = layers[layer].length > 1 ? layers[layer] : [];
	const below = layers[layer].includes(pure) ? layers.slice(layer + 1).flat().filter(name => name !== 'shared') : [];
	return [...above, ...beside, ...below];
}

function createDirection(layer, name) {
	const forbidden = listForbidden(layer).filter(other => other !== name);
	return {
		files: [`packages/${name}/src/**/*.ts`],
		rules: {
			'no-restricted-imports': ['error', {
				patterns: [{
					group: [
						...forbidden.flatMap(other => [`@wasabiusher/${other}`, `@wasabiusher/${other}/*`]),
						'@wasabiusher/*/src/*',
						'../../*',
					],
					message: 'Imports go down the list of layers in xo.config.js, by a package\'s index only.',
				}],
			}],
		},
	};
}

export default [
	{
		ignores: ['dist/**', 'target/**', 'journal/**', 'coverage/**'],
	},
	...layers.flatMap((names, layer) => names.map(name => createDirection(layer, name))),
	{
		files: ['packages/*/__tests__/**/*.ts', 'platform/__tests__/**/*.ts'],
		rules: {
			// Chai's assertions are expressions by design.
			'@typescript-eslint/no-unused-expressions': 'off',
			// Bodies of answers are asserted field by field, and some have the published protocol's names.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['packages/daemon/src/run.ts', 'packages/daemon/src/settings.ts', 'platform/src/main.ts'],
		rules: {
			// These two end command-line programs, which is what the rule allows.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: [
			'packages/backends/src/http-engine.ts',
			'packages/backends/src/generation-stream.ts',
			'packages/standins/src/engine*.ts',
			'packages/entry/src/completions*.ts',
			'packages/embedded/src/scenario.ts',
		],
		rules: {
			// Field names of the published completions protocol.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['scripts/reporter.cjs'],
		rules: {
			// Mocha loads reporters by require.
			'unicorn/prefer-module': 'off',
		},
	},
];
