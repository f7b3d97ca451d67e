/**
 * Errors of the command line, each with an exit status for scripts.
 */
import {LayerError, type AcceptedConfiguration} from '@wasabiusher/shared';

/** Exit status by error code. Status 2 is reserved for wrong usage, by convention. */
export const exitStatuses = {
	/** No entry could be reached, an entry refused the request, or the input can't be read. */
	failed: 1,
	/** The document has problems. */
	invalid: 1,
	/** The change may have been accepted. */
	unknown: 1,
	/** Another change was accepted first. */
	conflict: 3,
} as const;

export type CliErrorCode = keyof typeof exitStatuses;

/** An error of a command. Its message is printed unchanged; `details` are added to the JSON output. */
export class CliError extends LayerError<CliErrorCode> {
	override readonly name = 'CliError';
	/** On a conflict, the configuration in force, if the entry sent it. */
	current?: AcceptedConfiguration;
	readonly details: Record<string, unknown>;

	constructor(code: CliErrorCode, message: string, details: Record<string, unknown> = {}, cause?: unknown) {
		super(code, message, cause);
		this.details = details;
	}
}
