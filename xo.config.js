/**
 * XO with its default rules, and a rule for the direction of imports between packages:
 * a package may import only from packages in the layers below its own.
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

/** Package without I/O. Of the packages below it, it may import only `shared`. */
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
			// Chai assertions such as `expect(value).to.be.true` are expressions.
			'@typescript-eslint/no-unused-expressions': 'off',
			// Tests assert response bodies field by field; some fields have names of the published protocol.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['packages/daemon/src/run.ts', 'packages/daemon/src/settings.ts', 'platform/src/main.ts', 'platform/src/soak/main.ts'],
		rules: {
			// These files end command-line programs, the use of `process.exit` that the rule intends to allow.
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
			// Mocha loads reporters with `require`.
			'unicorn/prefer-module': 'off',
		},
	},
];
