/**
 * What a command is, and the settings that commands share.
 */
import {z} from 'zod';

/** What a command has found: for programs, and for people. */
export type CommandResult = {json: unknown; text: string};

export type Command<Shape extends z.ZodRawShape = z.ZodRawShape> = {
	/** One line for the help. */
	summary: string;
	schema: z.ZodObject<Shape>;
	/** The setting that a word without a flag, right after the command, gives. */
	positional?: string;
	/** Throws `CliError`. */
	run(settings: z.infer<z.ZodObject<Shape>>): Promise<CommandResult>;
};

/** Lets a command's function know the type of its own settings, and the table hold all alike. */
export function defineCommand<Shape extends z.ZodRawShape>(command: Command<Shape>): Command {
	// The settings that reach `run` have been parsed by the same command's schema.

	return command;
}

/** `a,b` as a list of origins. */
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

/** `a,b` as a list of log files. */
export const logsSchema = z.string().min(1).transform(text => text.split(',').filter(Boolean)).describe('log files of any number of hosts, comma-separated');

export const jsonShape = {
	json: z.stringbool().default(false).describe('print one line of JSON'),
};

export const fileShape = {
	file: z.string().min(1).meta({description: 'the document, YAML or JSON; - for standard input', short: 'f'}),
};
