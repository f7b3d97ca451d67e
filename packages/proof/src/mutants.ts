/**
 * Mutants: deliberate mistakes as text replacements in the source. The fault-injection runs must catch each.
 *
 * `scripts/proof-mutants.ts` applies them while it bundles this package; the files do not change.
 */
import type {Path} from './hooks.js';

export type Edit = {
	/** Path relative to the root of the repository. */
	file: string;
	/** The text to replace; it occurs exactly once in the file. */
	from: string;
	to: string;
};

export type Mutant = {
	title: string;
	/** Several edits if the same condition is checked in more than one place. */
	edits: readonly Edit[];
	/** Paths whose runs must catch the mutant. */
	paths: readonly Path[];
};

export const mutants: readonly Mutant[] = [
	{
		title: 'a non-idempotent call is tried again after it may have run',
		edits: [
			{file: 'packages/systems/src/dispatcher-run.ts', from: 'if (ran !== \'no\' && !this.call.profile.idempotent) {', to: 'if (false) {'},
			{file: 'packages/decisions/src/retries.ts', from: 'if (ran !== \'no\' && !isIdempotent) {', to: 'if (false) {'},
		],
		paths: ['posting'],
	},
	{
		title: 'a call that was sent and lost is told as not run',
		edits: [{
			file: 'packages/systems/src/dispatcher-attempt.ts',
			from: 'return this.#next > 0 ? \'yes\' : \'unknown\';',
			to: 'return \'no\';',
		}],
		paths: ['posting'],
	},
	{
		title: 'the agent says not run although the endpoint was called',
		edits: [{
			file: 'packages/systems/src/execution.ts',
			from: 'return isProvenNot ? \'no\' : \'unknown\';',
			to: 'return \'no\';',
		}],
		paths: ['posting'],
	},
	{
		title: 'the claim is dropped: a keyed call runs whoever has claimed it',
		edits: [{
			file: 'packages/systems/src/claimed-calls.ts',
			from: 'if (result.kind !== \'granted\') {',
			to: 'if (result.kind === \'unavailable\') {',
		}],
		paths: ['posting'],
	},
	{
		title: 'a frame of another attempt enters the answer',
		edits: [
			{file: 'packages/systems/src/dispatcher-run.ts', from: 'return this.#winner === attempt;', to: 'return true;'},
			{file: 'packages/systems/src/dispatcher-attempt.ts', from: 'if (this.#state === \'open\') {', to: 'if (true) {'},
		],
		paths: ['call'],
	},
	{
		title: 'a frame that was sent again enters the answer again',
		edits: [{
			file: 'packages/systems/src/dispatcher-attempt.ts',
			from: 'if (sequence < this.#next) {',
			to: 'if (false) {',
		}],
		paths: ['call', 'posting', 'sample'],
	},
	{
		title: 'a gap in the frames is passed over',
		edits: [{
			file: 'packages/systems/src/dispatcher-attempt.ts',
			from: 'if (sequence > this.#next) {',
			to: 'if (false) {',
		}],
		paths: ['call', 'posting', 'sample'],
	},
	{
		title: 'a sample is handed over without the check of staleness',
		edits: [{
			file: 'packages/systems/src/steps-freshness.ts',
			from: 'export function isFresh(',
			to: 'export function isFresh(..._facts: unknown[]): boolean { return true; }\nfunction isFreshNoMore(',
		}],
		paths: ['sample'],
	},
	{
		title: 'the trainer\'s cursor is not looked at',
		edits: [{
			file: 'packages/systems/src/steps.ts',
			from: 'const received = SampleSet.parse(after, step.total);',
			to: 'const received = SampleSet.parse(\'\', step.total);',
		}],
		paths: ['sample'],
	},
	{
		title: 'a sample is labelled by its last version only',
		edits: [{
			file: 'packages/shared/src/sample.ts',
			from: 'if (last?.version === version) {',
			to: 'if (last) {',
		}],
		paths: ['sample'],
	},
	{
		title: 'a lower version of the configuration is adopted',
		edits: [{
			file: 'packages/systems/src/configuration-adopter.ts',
			from: 'if (accepted.version <= this.#accepted.version) {',
			to: 'if (accepted.version === this.#accepted.version) {',
		}],
		paths: ['configuration'],
	},
	{
		title: 'a change of the configuration is written without its conditions',
		edits: [
			{
				file: 'packages/record/src/configuration-history.ts',
				from: 'table, key: headKey, expect: accepted.version - 1, value,',
				to: 'table, key: headKey, expect: undefined as unknown as number, value,',
			},
			{
				file: 'packages/record/src/configuration-history.ts',
				from: 'table, key: formatKey(accepted.version), expect: 0, value,',
				to: 'table, key: formatKey(accepted.version), expect: undefined as unknown as number, value,',
			},
		],
		paths: ['configuration'],
	},
];
