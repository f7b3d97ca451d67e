/**
 * Settings of a program: flags and environment variables of the same names, checked by one schema.
 *
 * `--table-service` and `WASABIUSHER_TABLE_SERVICE` set the same thing; the flag wins.
 */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {LayerError} from '@wasabiusher/shared';

/** Prefix of all environment variables read. */
const environmentPrefix = 'WASABIUSHER_';

/** Exit status for wrong usage, by convention. */
const usageStatus = 2;

/** A setting that is unknown or has a bad value. */
export class SettingsError extends LayerError<'settings'> {
	override readonly name = 'SettingsError';
}

/** Turns `tableService` into `table-service`. */
function toFlag(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}

function toVariable(name: string): string {
	return environmentPrefix + toFlag(name).replaceAll('-', '_').toUpperCase();
}

function describeSetting(name: string, schema: z.core.$ZodType): string {
	const description = z.globalRegistry.get(schema)?.description ?? '';
	return `${description} [${toVariable(name)}]`.trim();
}

function isSwitch(schema: z.core.$ZodType): boolean {
	return z.safeParse(schema, 'true').success && z.safeParse(schema, 'false').success && !z.safeParse(schema, 'x').success;
}

function readEnvironment(names: readonly string[], environment: NodeJS.ProcessEnv): Record<string, string> {
	const found = names
		.map(name => [name, environment[toVariable(name)]] as const)
		.filter((pair): pair is readonly [string, string] => pair[1] !== undefined);
	return Object.fromEntries(found);
}

/** What is read of a command line. */
export type Arguments = {
	program: string;
	version: string;
	argv: readonly string[];
	environment: NodeJS.ProcessEnv;
};

/**
 * Reads and checks a program's settings.
 *
 * Values reach the schema as strings, so it uses `z.coerce` for numbers and `z.stringbool` for switches.
 * @returns the settings, or undefined when `--help` or `--version` was asked for and printed
 * @throws {SettingsError} naming the first unknown or bad setting
 */
export function parseSettings<Shape extends z.ZodRawShape>(schema: z.ZodObject<Shape>, {program, version, argv, environment}: Arguments): z.infer<z.ZodObject<Shape>> | undefined {
	const cli = cac(program);
	const names = Object.keys(schema.shape);
	const command = cli.command('', `Runs ${program}`);
	for (const name of names) {
		const field = schema.shape[name]!;
		command.option(isSwitch(field) ? `--${toFlag(name)}` : `--${toFlag(name)} <value>`, describeSetting(name, field));
	}

	cli.help();
	cli.version(version);
	const {options} = cli.parse([process.execPath, program, ...argv], {run: false});
	if (options.help === true || options.version === true) {
		return undefined;
	}

	const given = Object.entries(options).filter(([name]) => name !== '--' && name !== 'h' && name !== 'v');
	for (const [name] of given) {
		if (!names.includes(name)) {
			throw new SettingsError('settings', `unknown setting --${toFlag(name)}; see --help`);
		}
	}

	const flags = Object.fromEntries(given.map(([name, value]) => [name, String(value)]));
	const parsed = schema.safeParse({...readEnvironment(names, environment), ...flags});
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		const name = String(issue.path[0] ?? '');
		throw new SettingsError('settings', `setting --${toFlag(name)}: ${issue.message}`);
	}

	return parsed.data;
}

/**
 * Reads the settings of this process; prints a one-line error and exits with status 2 if they are bad.
 */
export function loadSettings<Shape extends z.ZodRawShape>(program: string, version: string, schema: z.ZodObject<Shape>): z.infer<z.ZodObject<Shape>> {
	try {
		const settings = parseSettings(schema, {
			program, version, argv: process.argv.slice(2), environment: process.env,
		});
		if (settings) {
			return settings;
		}
	} catch (error) {
		if (!(error instanceof Error)) {
			throw error;
		}

		process.stderr.write(`${program}: ${error.message}\n`);
		process.exit(usageStatus);
	}

	return process.exit(0);
}
