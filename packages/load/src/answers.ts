/**
 * Parses and checks the responses that a caller receives.
 */
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import type {Violation} from './outcome.js';

const choiceSchema = z.looseObject({text: z.string().default('')});

const completionSchema = z.looseObject({choices: z.array(choiceSchema).min(1)});

const terminalData = '[DONE]';

/** The response that a request expects. */
export type Expectation = {id: string; tokens: number; checkTags: boolean};

/** Checks the text of a response that was delivered as complete. */
export function judgeText(text: string, {id, tokens, checkTags}: Expectation): Violation[] {
	const words = text.split(' ').filter(Boolean);
	const violations: Violation[] = [];
	if (words.length !== tokens) {
		violations.push('not-whole');
	}

	if (checkTags && words.some((word, index) => word !== `t${index + 1}:${id}`)) {
		violations.push('foreign');
	}

	return violations;
}

/** Returns the text of a non-streamed completion, or undefined if the body isn't a valid completion. */
export function readCompletion(body: string): string | undefined {
	try {
		const parsed = completionSchema.safeParse(JSON.parse(body));
		return parsed.success ? parsed.data.choices[0]!.text : undefined;
	} catch {
		return undefined;
	}
}

/** Accumulates the text of a streamed completion. */
export class StreamReader {
	text = '';
	/** Whether the terminal event has been received. */
	isWhole = false;
	readonly #decoder = new TextDecoder();
	readonly #parser = createParser({
		onEvent: ({event, data}) => {
			this.#read(event, data);
		},
	});

	push(chunk: Uint8Array): void {
		this.#parser.feed(this.#decoder.decode(chunk, {stream: true}));
	}

	#read(event: string | undefined, data: string): void {
		if (data === terminalData) {
			this.isWhole = true;
		} else if (event !== 'error') {
			this.text += readCompletion(data) ?? '';
		}
	}
}
