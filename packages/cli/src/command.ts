/**
 * Defines the shape of a command, and the settings that several commands share.
 */
import {z} from 'zod';

/** Result of a command: `json` for programs, `text` for people. */
export type CommandResult = {json: unknown; text: string};

export type Command<Shape extends z.ZodRawShape = z.ZodRawShape> = {
	/** One line for the help text. */
	summary: string;
	schema: z.ZodObject<Shape>;
	/** Name of the setting that an argument without a flag sets, directly after the command. */
	positional?: string;
	/** @throws {CliError} */
	run(settings: z.infer<z.ZodObject<Shape>>): Promise<CommandResult>;
};

/** Infers the settings of `run` from the command's schema, and returns the command in the type that the table of commands holds. */
export function defineCommand<Shape extends z.ZodRawShape>(command: Command<Shape>): Command {
	// Safe, since the program parses the settings for `run` with the schema of the same command.
	return command;
}

/** Parses `a,b` into a list of origins. */
export const originsSchema = z.string().transform((text, context) => {
	const origins = text.split(',').map(origin => origin.trim()).filter(Boolean);
	for (const origin of origins) {
		if (!URL.canParse(origin)) {
			context.addIssue({code: 'custom', message: `expected an origin such as http://127.0.0.1:7001, got "${origin}"`});
		}
	}

	if (origins.length === 0) {
		context.addIssue({code: 'custom', message: 'expected at least one origin'});
	}

	return origins;
});

export const timeoutShape = {
	timeoutMs: z.coerce.number().int().min(1).default(10_000).describe('longest wait for an answer, in milliseconds'),
};

export const accessShape = {
	entries: originsSchema.describe('origins of the entries for operators, comma-separated'),
	token: z.string().min(1).optional().describe('token of an operator'),
	...timeoutShape,
};

/** Parses `a,b` into a list of log files. */
export const logsSchema = z.string().min(1).transform(text => text.split(',').filter(Boolean)).describe('log files of any number of hosts, comma-separated');

export const jsonShape = {
	json: z.stringbool().default(false).describe('print one line of JSON'),
};

export const fileShape = {
	file: z.string().min(1).meta({description: 'the document, YAML or JSON; - for standard input', short: 'f'}),
};
