/**
 * Settings of a program: flags and environment variables, validated by one schema.
 *
 * Each setting has a flag and a variable, such as `--operator-tokens` and `WASABIUSHER_OPERATOR_TOKENS`; the flag takes precedence. An unknown
 * flag is an error. An unknown variable is ignored, because the environment may contain variables of other programs.
 */
import process from 'node:process';
import {cac} from 'cac';
import {z} from 'zod';
import {readFlags, type Flag, type Flags} from './flags.js';
import {SettingsError} from './settings-error.js';

/** Prefix of the environment variables of all settings. */
const environmentPrefix = 'WASABIUSHER_';

/** Exit status for invalid usage, by convention. */
export const usageStatus = 2;

/** Converts a key to a flag name, for example `tableService` to `table-service`. */
function toFlagName(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}

function toVariable(name: string): string {
	return environmentPrefix + toFlagName(name).replaceAll('-', '_').toUpperCase();
}

/** A setting, derived from its schema. */
type Setting = Flag & {
	/** Key in the schema. */
	key: string;
	variable: string;
	description: string;
	default: string | undefined;
};

function isSwitch(schema: z.core.$ZodType): boolean {
	return z.safeParse(schema, 'true').success && z.safeParse(schema, 'false').success && !z.safeParse(schema, 'x').success;
}

function formatDefault(schema: z.core.$ZodType): string | undefined {
	const value: unknown = schema instanceof z.ZodDefault ? schema.def.defaultValue : undefined;
	const isPrintable = ['string', 'number', 'boolean'].includes(typeof value) && value !== '';
	return isPrintable ? String(value) : undefined;
}

function listSettings(shape: z.ZodRawShape): Setting[] {
	return Object.entries(shape).map(([key, schema]) => {
		const {description = '', short} = z.globalRegistry.get(schema) ?? {};
		return {
			key, name: toFlagName(key), variable: toVariable(key), description, isSwitch: isSwitch(schema), default: formatDefault(schema),
			...(typeof short === 'string' ? {short} : {}),
		};
	});
}

/** The program's name and version, its arguments and its environment. */
export type Arguments = {
	program: string;
	version: string;
	argv: readonly string[];
	environment: NodeJS.ProcessEnv;
	/** Description of the program, printed in the help above the settings. */
	description?: string;
};

const commonFlags: readonly Flag[] = [
	{name: 'help', short: 'h', isSwitch: true},
	{name: 'version', short: 'v', isSwitch: true},
];

/** Prints the help or the version, whichever was requested, in the layout of cac. */
function printHelp(settings: readonly Setting[], {program, version, argv, description}: Arguments): void {
	const cli = cac(program);
	const command = cli.command('', description ?? `Runs ${program}`).usage('[--setting value]...');
	for (const {name, short, variable, description, isSwitch, default: value} of settings) {
		const flag = `${short === undefined ? '' : `-${short}, `}--${name}${isSwitch ? '' : ' <value>'}`;
		command.option(flag, `${description} [${variable}]`, {default: value});
	}

	cli.help(sections => sections.filter(({title}) => title === undefined || title === 'Usage' || title === 'Options'));
	cli.version(version);
	cli.parse([process.execPath, program, ...argv], {run: false});
}

/**
 * Reads and validates a program's settings.
 *
 * The schema receives all values as strings, so it must use `z.coerce` for numbers and `z.stringbool` for switches.
 * `.meta({description, short})` gives a setting a one-letter flag.
 * @returns the settings, or undefined if `--help` or `--version` was requested and has been printed
 * @throws {SettingsError} for the first unknown or invalid setting
 */
export function parseSettings<Shape extends z.ZodRawShape>(schema: z.ZodObject<Shape>, given: Arguments): z.infer<z.ZodObject<Shape>> | undefined {
	const settings = listSettings(schema.shape);
	const flags = readFlags([...settings, ...commonFlags], given.argv);
	if (flags.help === 'true' || flags.version === 'true') {
		printHelp(settings, given);
		return undefined;
	}

	const {values, origins} = mergeValues(settings, flags, given.environment);
	const parsed = schema.safeParse(values);
	if (!parsed.success) {
		throw describeIssue(parsed.error.issues[0]!, settings, origins);
	}

	return parsed.data;
}

function mergeValues(settings: readonly Setting[], flags: Flags, environment: NodeJS.ProcessEnv) {
	const values: Record<string, string> = {};
	const origins: Record<string, string> = {};
	for (const {key, name, variable} of settings) {
		const value = flags[name] ?? environment[variable];
		if (value !== undefined) {
			values[key] = value;
			origins[key] = flags[name] === undefined ? variable : `--${name}`;
		}
	}

	return {values, origins};
}

function describeIssue({path, message, code}: z.core.$ZodIssue, settings: readonly Setting[], origins: Readonly<Record<string, string>>): SettingsError {
	const key = String(path[0] ?? '');
	const origin = origins[key];
	const setting = settings.find(other => other.key === key);
	if (setting && origin === undefined) {
		// A refinement over several settings explains in its message when this one is required.
		const needed = code === 'custom' ? `: ${message}` : ' is required';
		return new SettingsError('settings', `setting --${setting.name}${needed} (or ${setting.variable})`);
	}

	return new SettingsError('settings', `setting ${origin ?? key}: ${message}`);
}

/**
 * Reads the settings of this process; prints a one-line error and exits with status 2 if they are invalid.
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
		if (!(error instanceof SettingsError)) {
			throw error;
		}

		process.stderr.write(`${program}: ${error.message}\n`);
		process.exit(usageStatus);
	}

	return process.exit(0);
}
