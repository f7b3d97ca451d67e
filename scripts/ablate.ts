/**
 * Measures the contribution of each mechanism of the policy: runs days with and without it and prints the paired differences.
 *
 * npm run ablate -- --bench PROGRAM --site FILE --days a,b --seeds 1,2,3 --scratch DIR --why TEXT [--only name,...] [--jobs 4]
 *
 * PROGRAM runs one day with `run FILE DAY --seed N --report JSON` in a checkout. Each variant runs in its own clone of the last commit
 * below DIR, with its policy set in the deploy file. Single runs vary too much to compare: judge the mean of the differences
 * against its standard error.
 */
import {execFile, execFileSync} from 'node:child_process';
import {
	existsSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {cac} from 'cac';
import PQueue from 'p-queue';
import {z} from 'zod';
import type {Policy} from '@wasabiusher/decisions';

/** Maximum output of a run, in bytes. */
const maxOutputBytes = 2 ** 28;

/** Conventional exit status for invalid command-line arguments. */
const usageStatus = 2;

/** Runs a program in a checkout. Rejects if it exits with an error. */
async function run(program: string, args: string[], cwd: string): Promise<void> {
	return new Promise((resolve, reject) => {
		execFile(program, args, {cwd, maxBuffer: maxOutputBytes}, error => {
			if (error) {
				reject(new Error(`${program} ${args[0]} failed in ${cwd}`, {cause: error}));
			} else {
				resolve();
			}
		});
	});
}

/** Policy changes that disable one mechanism each, by the mechanism's name. `all` is the unchanged policy. */
const variants: Readonly<Record<string, Partial<Policy>>> = {
	all: {},
	moves: {movesRuns: false},
	'second-texts': {makesSecondTexts: false},
	'kept-texts': {keepsTexts: false},
	checkpoints: {keepsCheckpoints: false},
	'refusal-pauses': {pausesAfterRefusals: false},
	'silence-pauses': {pausesAfterSilences: false},
	paces: {weighsPaces: false},
	warm: {prefersWarm: false},
	connected: {prefersConnected: false},
	hedging: {hedgesCalls: false},
	'shared-batches': {sharesBatches: false},
	'kept-workers': {keepsTrainers: false},
	'ranked-take-over': {ranksTakeOvers: false},
	'relayed-store': {relaysStoreCalls: false},
	'shares-by-need': {placement: 'even'},
	'one-model-an-endpoint': {placement: 'all-models'},
	'order-of-samples': {sampleOrder: 'as-submitted'},
	'staggered-loads': {staggersLoads: false},
	'load-delay': {loadDelayMs: 0},
	line: {queuesAtHost: false},
	'rations-on': {sharesSlots: true},
	'told-loads': {tellsLoads: false},
	'speeds-and-plans': {plansTexts: false},
	'commits-by-worth': {commitsByWorth: false},
	'timed-loads': {timesLoads: false},
	crashers: {refusesCrashers: false},
};

const listSchema = z.coerce.string().transform(text => text.split(',').filter(Boolean));

const optionsSchema = z.object({
	bench: z.string(),
	site: z.string(),
	days: listSchema,
	seeds: listSchema,
	scratch: z.string(),
	why: z.string().min(1),
	only: listSchema.default(Object.keys(variants)),
	jobs: z.coerce.number().int().min(1).max(16).default(4),
});

const reportSchema = z.object({breaks: z.record(z.string(), z.unknown()).default({}), fault: z.unknown().optional()}).catchall(z.unknown());

/** Field of a report that holds the score of the day. */
const scoreField = 'G';

type Options = z.infer<typeof optionsSchema>;

type DayRun = {variant: string; day: string; seed: string};

type Outcome = {score: number; isBroken: boolean};

function readOptions(): Options | undefined {
	const {options} = cac('ablate').help().parse();
	const parsed = optionsSchema.safeParse(options);
	const unknown = parsed.data?.only.filter(name => !Object.hasOwn(variants, name)) ?? [];
	if (!parsed.success || unknown.length > 0) {
		const issue = parsed.error?.issues[0];
		const problem = issue ? `--${issue.path.join('.')}: ${issue.message}` : `unknown mechanism ${unknown.join(', ')}; expected one of ${Object.keys(variants).join(', ')}`;
		process.stderr.write(`ablate: ${problem}\n`);
		return undefined;
	}

	return parsed.data;
}

/** Adds an environment variable to the role of a deploy file. The file has one role, which must already set `env`. */
function setVariable(deploy: string, name: string, value: string): string {
	const changed = deploy.replace(/^env = \{ /mv, () => `env = { ${name} = ${JSON.stringify(value)}, `);
	if (changed === deploy) {
		throw new Error('deploy/system.toml sets no environment variables: expected a line that begins with "env = { "');
	}

	return changed;
}

/** Creates and builds a clone whose deploy file sets the variant's policy. An existing clone is reused. */
async function prepareClone(variant: string, scratch: string, bench: string): Promise<string> {
	const directory = path.join(scratch, variant);
	if (!existsSync(directory)) {
		execFileSync('git', ['clone', '--quiet', '.', directory]);
		execFileSync('cp', ['-a', '--link', 'node_modules', path.join(directory, 'node_modules')]);
		const file = path.join(directory, 'deploy/system.toml');
		const policy = JSON.stringify(variants[variant]);
		writeFileSync(file, setVariable(readFileSync(file, 'utf8'), 'WASABIUSHER_POLICY', policy));
	}

	await run(bench, ['build'], directory);
	return directory;
}

async function play({variant, day, seed}: DayRun, directory: string, {bench, site, why}: Options): Promise<Outcome | undefined> {
	const report = path.join(directory, `${path.basename(site)}-${path.basename(day)}-${seed}.json`);
	try {
		await run(bench, ['run', site, day, '--seed', seed, '--jobs', '1', '--report', report, '--why', `${why} (without ${variant})`], directory);
	} catch {
		// A day on which a rule is broken exits with a non-zero status. The report has the details, or is missing.
	}

	if (!existsSync(report)) {
		return undefined;
	}

	const {breaks, fault, ...rest} = reportSchema.parse(JSON.parse(readFileSync(report, 'utf8')));
	return {score: Number(rest[scoreField]), isBroken: Object.keys(breaks).length > 0 || Boolean(fault)};
}

function findMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function findStandardError(values: readonly number[]): number {
	const mean = findMean(values);
	return Math.sqrt(values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / (values.length - 1) / values.length);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function ablate(options: Options): Promise<void> {
	const {bench} = options;
	const scratch = path.resolve(options.scratch);
	mkdirSync(scratch, {recursive: true});
	const names = ['all', ...options.only.filter(name => name !== 'all')];
	const directories = new Map<string, string>();
	for (const name of names) {
		// Builds run one after the other because concurrent builds would write the same cache files.
		// eslint-disable-next-line no-await-in-loop
		directories.set(name, await prepareClone(name, scratch, bench));
	}

	const cases = options.days.flatMap(day => options.seeds.map(seed => ({day, seed})));
	const outcomes = new Map<string, Outcome | undefined>();
	const queue = new PQueue({concurrency: options.jobs});
	const toKey = ({variant, day, seed}: DayRun) => `${variant} ${day} ${seed}`;
	await queue.addAll(cases.flatMap(one => names.map(variant => async () => {
		const chosen = {variant, ...one};
		outcomes.set(toKey(chosen), await play(chosen, directories.get(variant)!, options));
	})));

	print(`${'without'.padEnd(24)} ${'worth'.padStart(7)}  loss with its error, pairs, days broken`);
	for (const variant of names) {
		const played = cases.flatMap(one => outcomes.get(toKey({variant, ...one})) ?? []);
		const losses = cases.flatMap(one => {
			const [before, after] = ['all', variant].map(name => outcomes.get(toKey({variant: name, ...one})));
			return before && after ? [before.score - after.score] : [];
		});
		const worth = findMean(played.map(play => play.score)).toFixed(3);
		const broken = played.filter(({isBroken}) => isBroken).length;
		print(`${variant.padEnd(24)} ${worth.padStart(7)}  ${findMean(losses).toFixed(3)} +- ${findStandardError(losses).toFixed(3)}  ${losses.length}  ${broken}`);
	}
}

const options = readOptions();
if (options) {
	await ablate({...options, bench: path.resolve(options.bench), site: path.resolve(options.site)});
} else {
	process.exitCode = usageStatus;
}
