/**
 * Mutation tests: deliberate faults in the code, each of which the specs must detect.
 *
 * `npm run mutants` copies the sources to a temporary directory, applies one fault at a time there, runs the
 * specs that should detect it, and prints whether they did. The sources themselves are never changed.
 */
import {spawnSync} from 'node:child_process';
import {
	cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

type Patch = {file: string; find: string; replace: string};

type Mutant = {name: string; patches: Patch[]; specs: string[]};

const record = (file: string) => `packages/record/src/${file}.ts`;
const systems = (file: string) => `packages/systems/src/${file}.ts`;
const recordSpec = (name: string) => `packages/record/__tests__/${name}.spec.ts`;
const duties = (file: string) => `packages/duties/src/${file}.ts`;
const usageSpec = 'packages/duties/__tests__/usage.spec.ts';
const systemsSpec = (name: string) => `packages/systems/__tests__/${name}.spec.ts`;

const withoutInvariants: Patch = {file: systems('invariants'), find: 'if (!holds) {', replace: 'if (false as boolean) {'};
const trueInvariants: Patch = {file: systems('invariants'), find: 'return holds;', replace: 'return true;'};

/** Disables the invariant checks, so that the mutant must be detected by the tests of the mechanism itself. */
const unchecked = [withoutInvariants, trueInvariants];

const mutants: Mutant[] = [
	{
		name: 'usage is sent before it is fixed',
		patches: [{
			file: duties('usage-reporter'), find: 'const report = await store.fixReport({window, counts});',
			replace: 'await this.#send({window, counts, isSent: false, version: 0});\n\t\tconst report = await store.fixReport({window, counts});',
		}],
		specs: [usageSpec],
	},
	{
		name: 'the number under which usage is reported is not raised with the holder',
		patches: [{file: duties('usage-reporter'), find: 'client.reportUsage(report, {holder, fence})', replace: 'client.reportUsage(report, {holder, fence: 1})'}],
		specs: [usageSpec],
	},
	{
		name: 'usage is sent under a number that was refused',
		patches: [{file: duties('usage-reporter'), find: 'return lease.holds() && lease.fence > this.#refusedFence;', replace: 'return lease.holds();'}],
		specs: [usageSpec],
	},
	{
		name: 'usage that was fixed by another holder is fixed anew',
		patches: [{file: duties('usage-store'), find: 'this.#writeReport({window, counts, isSent: false}, 0);', replace: 'this.#writeReport({window, counts, isSent: false}, undefined as never);'}],
		specs: [usageSpec],
	},
	{
		name: 'a holder does not see that its lease has lapsed',
		patches: [{file: record('lease-holder'), find: 'return performance.now() + effectMs < this.#heldUntil &&', replace: 'return this.#heldUntil > 0 &&'}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'an effect goes out though the lease ends before it arrives',
		patches: [{file: record('lease-holder'), find: 'performance.now() + effectMs <', replace: 'performance.now() <'}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'what an earlier start of an endpoint wrote late brings it back',
		patches: [{file: 'packages/direct/src/restart-watch.ts', find: 'return row.bornMs > known.bornMs ? \'new\' : \'former\';', replace: 'return \'new\';'}],
		specs: ['packages/direct/__tests__/restart-watch.spec.ts'],
	},
	{
		name: 'a checkpoint that was refused counts as written',
		patches: [{file: 'packages/batches/src/checkpoints.ts', find: 'if (!isWritten) {', replace: 'if (!isWritten && (false as boolean)) {'}],
		specs: ['packages/batches/__tests__/checkpoints.spec.ts'],
	},
	{
		name: 'the term is counted from the answer',
		patches: [{file: record('lease-holder'), find: 'this.#heldUntil = sentAt +', replace: 'this.#heldUntil = performance.now() +'}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'a lease is taken over without waiting for its term',
		patches: [{file: record('lease-holder'), find: 'return this.#getMsToTakeover() <= 0 && this.#takeoverLimit.tryTake();', replace: 'return this.#takeoverLimit.tryTake();'}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'the fence stays when the holder changes',
		patches: [{file: record('lease-holder'), find: '(isOwn ? 0 : 1)', replace: '(this.#lease ? 0 : 1)'}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'take-overs have no cap',
		patches: [{file: record('takeover-rate-limit'), find: 'this.#tokens -= 1;', replace: ''}],
		specs: [recordSpec('lease-holder')],
	},
	{
		name: 'a lost answer is taken for a refusal',
		patches: [{file: record('settled-write'), find: 'return typeof witness === \'number\' ? witness : undefined;', replace: 'return undefined;'}],
		specs: [recordSpec('configuration-history'), recordSpec('sample-log')],
	},
	{
		name: 'a lost answer is taken for a success',
		patches: [{file: record('settled-write'), find: 'mayBeApplied = true;', replace: 'if (outcome === \'unknown\') {\n\t\t\treturn true;\n\t\t}\n\n\t\tmayBeApplied = true;'}],
		specs: [recordSpec('configuration-history'), recordSpec('sample-log')],
	},
	{
		name: 'an earlier owner of a step commits',
		patches: [
			{file: record('sample-log'), find: 'key: this.#step, expect: this.#version, value: head,', replace: 'key: this.#step, expect: undefined as never, value: head,'},
			{file: record('sample-log'), find: 'expect: 0,\n', replace: 'expect: undefined as never,\n'},
		],
		specs: [recordSpec('sample-log')],
	},
	{
		name: 'a lower configuration is adopted',
		patches: [...unchecked, {file: systems('configuration-adopter'), find: 'if (accepted.version <= this.#accepted.version) {', replace: 'if (accepted.version === this.#accepted.version) {'}],
		specs: [systemsSpec('configuration-adopter')],
	},
	{
		name: 'a delta is applied unchecked',
		patches: [
			{file: 'packages/shared/src/configuration-delta.ts', find: 'return hashConfiguration(configuration) === hash ?', replace: 'return hash !== undefined ?'},
			{file: 'packages/shared/src/configuration-delta.ts', find: 'accepted.version < from ||', replace: ''},
		],
		specs: [systemsSpec('configuration-adopter')],
	},
	{
		name: 'a new process is ready with neither store nor peers',
		patches: [{file: systems('configuration-adopter'), find: 'return reportedVersions.length >= requiredPeers', replace: 'return reportedVersions.length >= 0'}],
		specs: [systemsSpec('configuration-adopter')],
	},
	{
		name: 'the claim is dropped',
		patches: [{file: systems('claimed-calls'), find: 'if (result.kind !== \'granted\') {', replace: 'if (result.kind === \'unavailable\') {'}],
		specs: [systemsSpec('claimed-calls')],
	},
	{
		name: 'a call whose caller was told runs after all',
		patches: [{file: systems('claimed-calls'), find: 'submission.isEnded ? {kind: \'released\'} : await', replace: 'await'}],
		specs: [systemsSpec('claimed-calls')],
	},
	{
		name: '"not run" is said while a claim may exist',
		patches: [...unchecked, {file: systems('claimed-calls'), find: 'submission.mayBeClaimed ? \'unknown\' : \'no\'', replace: '\'no\''}],
		specs: [systemsSpec('claimed-calls')],
	},
	{
		name: 'a run that may have taken effect is released',
		patches: [{file: systems('claimed-calls'), find: 'problem.ran === \'no\' ? \'released\' : \'doubtful\'', replace: '\'released\''}],
		specs: [systemsSpec('claimed-calls')],
	},
	{
		name: 'a key may stand for two calls',
		patches: [{file: systems('claimed-calls'), find: 'if (first.fingerprint !== submission.call.fingerprint) {', replace: 'if (first.fingerprint === \'\') {'}],
		specs: [systemsSpec('claimed-calls')],
	},
	{
		name: 'stale samples are handed over',
		patches: [
			...unchecked,
			{file: systems('steps-freshness'), find: 'return !isStale(', replace: 'return versions.length > 0 || !isStale('},
		],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'work for the next step is begun whatever its bound',
		patches: [{file: systems('steps-decisions'), find: 'now) === \'start\';', replace: 'now) !== undefined;'}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'the cursor is ignored',
		patches: [...unchecked, {file: systems('steps-step'), find: '!received.has(position) && state !== \'done\'', replace: 'state !== \'done\''}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'a sample is labelled with its first version only',
		patches: [{file: systems('steps-attempt'), find: 'appendSpan(versions, part.version, part.tokens)', replace: 'appendSpan(versions, versions[0]?.version ?? part.version, part.tokens)'}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'groups are handed over in parts',
		patches: [
			{file: systems('steps-step'), find: 'if (missing.every(({state}) => state === \'ready\')) {', replace: 'if (true as boolean) {'},
			{file: systems('steps-step'), find: '...missing.map(({sample}) => sample!)', replace: '...missing.filter(({state}) => state === \'ready\').map(({sample}) => sample!)'},
		],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'the second attempt to finish replaces the sample',
		patches: [{file: systems('steps-slots'), find: '\t\tattempt.cancel();\n', replace: '\t\t// The mutant lets it go on.\n\t\tvoid attempt;\n'}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'what gets ready while the trainer reads is missed',
		patches: [{file: systems('steps-step'), find: ' || this.#changeCount !== since', replace: ''}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'a step is not gone on with from the record',
		patches: [{file: systems('steps'), find: 'step.restore(samples, []);', replace: 'void samples;'}],
		specs: [systemsSpec('steps')],
	},
	{
		name: 'a gatherer writes any row for others',
		patches: [{file: systems('commit-gateway'), find: 'if (write.table !== claimTable) {', replace: 'if (write.table === \'\') {'}],
		specs: [systemsSpec('commit-gateway')],
	},
	{
		name: 'a non-idempotent call that may have run is retried',
		patches: [{file: 'packages/decisions/src/retries.ts', find: 'if (ran !== \'no\' && !isIdempotent) {', replace: 'if (ran === \'yes\' && !isIdempotent) {'}],
		specs: ['packages/decisions/__tests__/retries.spec.ts', systemsSpec('dispatcher')],
	},
	{
		name: '"not run" is said of an attempt that was sent',
		patches: [{file: systems('dispatcher-attempt'), find: 'return this.#next > 0 ? \'yes\' : \'unknown\';', replace: 'return this.#next > 0 ? \'yes\' : \'no\';'}],
		specs: [systemsSpec('dispatcher')],
	},
	{
		name: 'a part that was sent again enters the answer twice',
		patches: [{file: systems('dispatcher-attempt'), find: 'if (sequence < this.#next) {', replace: 'if (sequence < 0) {'}],
		specs: [systemsSpec('dispatcher-attempt')],
	},
	{
		name: 'an order with an old fence is carried out',
		patches: [{file: 'packages/agent/src/order-handler.ts', find: 'if (!await floor.raise(fence)) {', replace: 'if (!await floor.raise(fence) && fence < 0) {'}],
		specs: ['packages/agent/__tests__/order-handler.spec.ts'],
	},
	{
		name: 'a scorer is asked under a key of each try',
		// The patched text is a template of the source.
		// eslint-disable-next-line no-template-curly-in-string
		patches: [{file: systems('steps-scoring'), find: '#${hashText(sample.text)}`;', replace: '#${hashText(sample.text)}#${tries}`;'}],
		specs: [systemsSpec('steps')],
	},
];

function copySources(root: string): string {
	const copy = mkdtempSync(path.join(tmpdir(), 'wasabiusher-mutants-'));
	for (const name of ['packages', 'scripts', 'package.json', 'tsconfig.json']) {
		cpSync(path.join(root, name), path.join(copy, name), {recursive: true});
	}

	// Links the installed libraries; the workspace's packages resolve to the copy.
	const modules = path.join(copy, 'node_modules');
	mkdirSync(path.join(modules, '@wasabiusher'), {recursive: true});
	for (const name of readdirSync(path.join(root, 'node_modules')).filter(module => module !== '@wasabiusher')) {
		symlinkSync(path.join(root, 'node_modules', name), path.join(modules, name));
	}

	for (const name of readdirSync(path.join(copy, 'packages'))) {
		symlinkSync(path.join('..', '..', 'packages', name), path.join(modules, '@wasabiusher', name));
	}

	return copy;
}

/** Applies patches and returns the original files. Undefined, with all files restored, if the code no longer contains the text of a patch. */
function patchSources(copy: string, patches: readonly Patch[]): Map<string, string> | undefined {
	const originals = new Map<string, string>();
	for (const {file, find, replace} of patches) {
		const target = path.join(copy, file);
		const source = readFileSync(target, 'utf8');
		originals.set(target, originals.get(target) ?? source);
		if (!source.includes(find)) {
			restoreSources(originals);
			return undefined;
		}

		writeFileSync(target, source.replace(find, () => replace));
	}

	return originals;
}

function restoreSources(originals: ReadonlyMap<string, string>): void {
	for (const [file, source] of originals) {
		writeFileSync(file, source);
	}
}

/** Applies a mutant, runs its specs and restores the files. Returns the verdict to print and whether the mutant was caught. */
function checkMutant(copy: string, {patches, specs}: Mutant): {isCaught: boolean; verdict: string} {
	const originals = patchSources(copy, patches);
	if (!originals) {
		return {isCaught: false, verdict: 'DOES NOT FIT THE CODE'};
	}

	const failures = countFailures(copy, specs);
	restoreSources(originals);
	return {isCaught: failures > 0, verdict: failures > 0 ? `caught by ${failures}` : 'NOT CAUGHT'};
}

/** Returns the number of failed tests of a Mocha process, which is stopped after 120 s. Throws if it ends in any other way, such as a spec that cannot be loaded: then the list of mutants is wrong. */
function countFailures(copy: string, specs: readonly string[]): number {
	const mocha = path.join(copy, 'node_modules', 'mocha', 'bin', 'mocha.js');
	const {status, stdout} = spawnSync(process.execPath, ['--import', 'tsx', mocha, '--no-config', '--exit', '--timeout', '20000', '--reporter', 'dot', ...specs], {
		cwd: copy, encoding: 'utf8', timeout: 120_000,
	});
	const failures = Number(/(\d+) failing/v.exec(stdout)?.[1] ?? 0);
	if (failures === 0 && status !== 0) {
		throw new Error(`Mocha ended without a test result: ${stdout}`);
	}

	return failures;
}

function run(): number {
	const copy = copySources(process.cwd());
	let missed = 0;
	try {
		if (countFailures(copy, [...new Set(mutants.flatMap(({specs}) => specs))]) > 0) {
			throw new Error('the specs must pass before a mutant is applied, but some fail');
		}

		for (const mutant of mutants) {
			const {isCaught, verdict} = checkMutant(copy, mutant);
			missed += isCaught ? 0 : 1;
			process.stdout.write(`${verdict}: ${mutant.name}\n`);
		}
	} finally {
		rmSync(copy, {recursive: true});
	}

	process.stdout.write(`${mutants.length - missed} caught, ${missed} not caught\n`);
	return missed === 0 ? 0 : 1;
}

process.exitCode = run();
