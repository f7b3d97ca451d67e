/**
 * Runs a command line. `main.ts` passes the arguments, environment and streams of the process.
 */
import {cac} from 'cac';
import {parseSettings, SettingsError, usageStatus} from '@wasabiusher/daemon';
import type {Command} from './command.js';
import {commands} from './commands.js';
import {CliError, exitStatuses} from './errors.js';

const program = 'wasabiusher';
const version = '0.1.0';

export type ProgramIo = {
	argv: readonly string[];
	environment: NodeJS.ProcessEnv;
	writeOut(text: string): void;
	writeError(text: string): void;
};

/** Prints the list of commands, formatted by cac. */
function printHelp(): void {
	const cli = cac(program);
	cli.usage('<command> [--setting value]...');
	for (const [name, {summary}] of Object.entries(commands)) {
		cli.command(name, summary);
	}

	cli.help();
	cli.version(version);
	cli.outputHelp();
}

const topLevel: Readonly<Record<string, () => void>> = {
	'--help': printHelp,
	'-h': printHelp,
	help: printHelp,
	'--version': printVersion,
	'-v': printVersion,
};

function printVersion(): void {
	const cli = cac(program);
	cli.version(version);
	cli.outputVersion();
}

/** Runs a command and resolves to the exit status. */
export async function runProgram({argv, environment, writeOut, writeError}: ProgramIo): Promise<number> {
	const [name = '', ...rest] = argv;
	if (Object.hasOwn(topLevel, name)) {
		topLevel[name]!();
		return 0;
	}

	const command = Object.hasOwn(commands, name) ? commands[name] : undefined;
	if (!command) {
		writeError(`${program}: ${name === '' ? 'expected a command' : `unknown command "${name}"`}; see --help`);
		return usageStatus;
	}

	try {
		const settings = parseSettings(command.schema, {
			program: `${program} ${name}`, version, argv: expandPositional(command, rest), environment, description: command.summary,
		});
		if (settings) {
			const {json, text} = await command.run(settings);
			writeOut(settings.json === true ? JSON.stringify(json) : text);
		}

		return 0;
	} catch (error) {
		return reportError(error, rest.includes('--json'), {writeOut, writeError});
	}
}

/** Puts the flag of the command's positional setting before a first argument that has no flag. */
function expandPositional({positional}: Command, argv: readonly string[]): readonly string[] {
	const [first] = argv;
	return positional === undefined || first === undefined || first.startsWith('-') ? argv : [`--${positional}`, ...argv];
}

function reportError(error: unknown, isJson: boolean, {writeOut, writeError}: Pick<ProgramIo, 'writeOut' | 'writeError'>): number {
	if (error instanceof SettingsError) {
		writeError(`${program}: ${error.message}`);
		return usageStatus;
	}

	if (!(error instanceof CliError)) {
		throw error;
	}

	if (isJson) {
		writeOut(JSON.stringify({error: error.code, message: error.message, ...error.details}));
	}

	writeError(error.message);
	return exitStatuses[error.code];
}
