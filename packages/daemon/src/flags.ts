/**
 * Parser of command-line flags that keeps values as strings.
 *
 * Uses `parseArgs` of Node.js because cac converts values that look like numbers, for example the token `0123` to 123. Cac is only used to print
 * the help.
 */
import {parseArgs, type ParseArgsConfig} from 'node:util';
import {SettingsError} from './settings-error.js';

export type Flag = {
	/** Name without the leading hyphens. */
	name: string;
	/** One-letter alias. */
	short?: string;
	/** Whether the flag takes no value. */
	isSwitch: boolean;
};

type OptionToken = Extract<NonNullable<ReturnType<typeof parseArgs>['tokens']>[number], {kind: 'option'}>;

/** Values by flag name; a switch is `'true'`, or `'false'` if given as `--no-name`. */
export type Flags = Record<string, string>;

/** Parses the flags; throws `SettingsError` for the first argument that is unknown, has no value or is not a flag. */
export function readFlags(flags: readonly Flag[], argv: readonly string[]): Flags {
	const options: ParseArgsConfig['options'] = Object.fromEntries(flags.map(({name, short, isSwitch}) => [name, {
		type: isSwitch ? 'boolean' : 'string', ...(short === undefined ? {} : {short}),
	}]));
	const {tokens} = parseArgs({
		args: [...argv], options, strict: false, tokens: true,
	});
	const values: Flags = {};
	for (const token of tokens) {
		if (token.kind === 'positional') {
			throw new SettingsError('settings', `unexpected argument "${token.value}"; settings are written --name value, see --help`);
		}

		if (token.kind === 'option') {
			const [name, value] = readFlag(token, flags);
			values[name] = value;
		}
	}

	return values;
}

function readFlag(token: OptionToken, flags: readonly Flag[]): [name: string, value: string] {
	const flag = flags.find(({name}) => name === token.name);
	if (flag?.isSwitch) {
		return [flag.name, token.value ?? 'true'];
	}

	if (flag) {
		return [flag.name, token.value ?? fail(`setting --${flag.name}: expected a value`)];
	}

	const negated = flags.find(({name, isSwitch}) => isSwitch && `no-${name}` === token.name);
	return negated ? [negated.name, 'false'] : fail(`unknown setting ${token.rawName}; see --help`);
}

function fail(message: string): never {
	throw new SettingsError('settings', message);
}
