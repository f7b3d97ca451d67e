/**
 * The base class of the errors that the layers throw.
 *
 * Each layer extends it and wraps the errors of the layer below, with the original error as `cause`.
 */

/** An error with a code that programs can act on. */
export class LayerError<Code extends string = string> extends Error {
	override readonly name: string = 'LayerError';
	readonly code: Code;

	/**
	 * @param code - stable, machine-readable reason
	 * @param message - what was received, what was expected and what to do
	 * @param cause - the error from the layer below, if any
	 */
	constructor(code: Code, message: string, cause?: unknown) {
		super(message, cause === undefined ? undefined : {cause});
		this.code = code;
	}
}

/**
 * Describes any thrown value in one line, for logs and problem details.
 */
export function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
