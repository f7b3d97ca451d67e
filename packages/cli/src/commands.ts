/**
 * Defines the commands for configuration and status, and the table of all commands by name.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readStream} from 'node:stream/consumers';
import {userInfo} from 'node:os';
import {z} from 'zod';
import {emptyConfiguration, type Configuration} from '@wasabiusher/shared';
import {burnCommand} from './burn-command.js';
import {formatDifference, listDifferences, type Difference} from './differences.js';
import {formatProblem, readDocument} from './document.js';
import {CliError} from './errors.js';
import {explainCommand} from './explain-command.js';
import {gatewaysCommand} from './gateways-command.js';
import {formatTable, formatTime} from './layout.js';
import {OperatorClient} from './operator-client.js';
import {formatStatus, joinStatuses} from './status.js';
import {runsCommand} from './runs-command.js';
import {stepsCommand} from './steps-command.js';
import {
	accessShape, defineCommand, fileShape, jsonShape, type Command,
} from './command.js';

async function readText(file: string): Promise<string> {
	try {
		return file === '-' ? await readStream(process.stdin) : await readFile(file, 'utf8');
	} catch (error) {
		throw new CliError('failed', `${file}: the file can not be read`, {}, error);
	}
}

/**
 * Reads a configuration from a file, or from standard input for `-`.
 *
 * @throws {CliError} `invalid` with all problems of the document; `failed` if the file can't be read
 */
async function readConfiguration(file: string): Promise<Configuration> {
	const {configuration, problems} = readDocument(await readText(file));
	if (configuration === undefined) {
		throw new CliError('invalid', problems.map(problem => formatProblem(file, problem)).join('\n'), {problems});
	}

	return configuration;
}

function formatDifferences(differences: readonly Difference[]): string {
	return differences.length === 0 ? 'no differences' : differences.map(difference => formatDifference(difference)).join('\n');
}

const validate = defineCommand({
	summary: 'Checks a document and lists all of its problems',
	schema: z.object({...fileShape, ...jsonShape}),
	async run({file}) {
		const {profiles, services} = await readConfiguration(file);
		const counts = {profiles: Object.keys(profiles).length, services: Object.keys(services).length};
		return {json: {valid: true, ...counts}, text: `${file}: valid, ${counts.profiles} profiles and ${counts.services} services`};
	},
});

const diff = defineCommand({
	summary: 'Shows what a document would change',
	schema: z.object({...fileShape, ...accessShape, ...jsonShape}),
	async run({file, ...access}) {
		const configuration = await readConfiguration(file);
		const current = await new OperatorClient(toAccess(access)).readCurrent();
		const differences = listDifferences(current.configuration, configuration);
		return {json: {version: current.version, differences}, text: `from version ${current.version}:\n${formatDifferences(differences)}`};
	},
});

const apply = defineCommand({
	summary: 'Puts a document in force everywhere',
	schema: z.object({
		...fileShape,
		ifVersion: z.coerce.number().int().nonnegative().optional().describe('accept only if this version is in force; another one is a conflict, exit status 3'),
		dryRun: z.stringbool().default(false).describe('show the differences and change nothing'),
		author: z.string().min(1).max(128).default(() => userInfo().username).describe('who makes the change, for the history'),
		...accessShape,
		...jsonShape,
	}),
	async run({file, ifVersion, dryRun, author, ...access}) {
		const configuration = await readConfiguration(file);
		const client = new OperatorClient(toAccess(access));
		const before = await client.readCurrent();
		if (dryRun) {
			assertVersion(before.version, ifVersion);
			const differences = listDifferences(before.configuration, configuration);
			return {json: {version: before.version, dryRun, differences}, text: `would change version ${before.version}:\n${formatDifferences(differences)}`};
		}

		const accepted = await client.apply({configuration, author, ifVersion}).catch((error: unknown) => {
			throw describeConflict(error, configuration);
		});
		const differences = listDifferences(before.configuration, configuration);
		return {
			json: {version: accepted.version, differences},
			text: `version ${accepted.version} accepted\n${formatDifferences(differences)}`,
		};
	},
});

function assertVersion(version: number, expected: number | undefined): void {
	if (expected !== undefined && expected !== version) {
		throw new CliError('conflict', `the configuration is at version ${version}, expected ${expected}`);
	}
}

/** Adds to a conflict who made the change that was accepted first, and how the document differs from it. */
function describeConflict(error: unknown, configuration: Configuration): unknown {
	if (!(error instanceof CliError) || !error.current) {
		return error;
	}

	const {version, author, acceptedAt, configuration: current} = error.current;
	const differences = listDifferences(current, configuration);
	const text = `${error.message}\nversion ${version} was accepted from ${author} at ${formatTime(acceptedAt)}; the document differs from it by:\n${formatDifferences(differences)}`;
	return new CliError('conflict', text, {
		version, author, acceptedAt, differences,
	}, error);
}

const history = defineCommand({
	summary: 'Lists accepted changes, newest first',
	schema: z.object({
		limit: z.coerce.number().int().min(1).max(1000).default(20).describe('most changes listed'),
		...accessShape,
		...jsonShape,
	}),
	async run({limit, ...access}) {
		// Reads one change more than is listed, so that the oldest listed change can be compared with its predecessor.
		const found = await new OperatorClient(toAccess(access)).readHistory(limit + 1);
		const changes = found.slice(0, limit).map((change, index) => {
			const before = found[index + 1] ?? (change.version === 1 ? emptyConfiguration : undefined);
			return {
				version: change.version,
				acceptedAt: change.acceptedAt,
				author: change.author,
				differences: before && listDifferences(before.configuration, change.configuration),
			};
		});
		const rows = changes.map(({version, acceptedAt, author, differences}) => [
			String(version), formatTime(acceptedAt), author, differences ? summarizeDifferences(differences) : '?',
		]);
		return {json: {changes}, text: formatTable(['VERSION', 'ACCEPTED', 'AUTHOR', 'CHANGED'], rows)};
	},
});

/** Maximum number of paths in one row. */
const maxListedPaths = 3;

function summarizeDifferences(differences: readonly Difference[]): string {
	const paths = differences.slice(0, maxListedPaths).map(({path}) => path).join(', ');
	const rest = differences.length - maxListedPaths;
	return rest > 0 ? `${paths} and ${rest} more` : paths || 'nothing';
}

const status = defineCommand({
	summary: 'Tells where the configuration is in force and how endpoints are doing; name all entries for the whole',
	schema: z.object({...accessShape, ...jsonShape}),
	async run(access) {
		const answers = await new OperatorClient(toAccess(access)).readStatuses();
		if (answers.every(({status: answer}) => answer === undefined)) {
			throw new CliError('failed', answers.map(({error}) => error).join('\n'));
		}

		const joined = joinStatuses(answers);
		return {json: joined, text: formatStatus(joined)};
	},
});

function toAccess({entries, token, timeoutMs}: {entries: string[]; token?: string; timeoutMs: number}) {
	return {origins: entries, token, timeoutMs};
}

/** All commands, by name. */
export const commands: Readonly<Record<string, Command>> = {
	validate, diff, apply, history, status, burn: burnCommand, explain: explainCommand, gateways: gatewaysCommand, runs: runsCommand, steps: stepsCommand,
};
