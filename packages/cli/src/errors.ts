/**
 * What can go wrong for an operator, each with the exit status that scripts can act on.
 */
import {LayerError, type AcceptedConfiguration} from '@wasabiusher/shared';

/** Exit status by error; 2 is wrong usage, by convention. */
export const exitStatuses = {
	/** No entry could be reached, or it refused. */
	failed: 1,
	/** The document has problems. */
	invalid: 1,
	/** The change may have been accepted. */
	unknown: 1,
	/** Another change was accepted first. */
	conflict: 3,
} as const;

export type CliErrorCode = keyof typeof exitStatuses;

/** Its message is shown as it is; `details` are added to the JSON output. */
export class CliError extends LayerError<CliErrorCode> {
	override readonly name = 'CliError';
	/** On a conflict, what is in force instead, where the entry told it. */
	current?: AcceptedConfiguration;
	readonly details: Record<string, unknown>;

	constructor(code: CliErrorCode, message: string, details: Record<string, unknown> = {}, cause?: unknown) {
		super(code, message, cause);
		this.details = details;
	}
}
