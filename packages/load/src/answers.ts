/**
 * Checks of what a caller has received.
 */
import {createParser} from 'eventsource-parser';
import {z} from 'zod';
import type {Violation} from './outcome.js';

const choiceSchema = z.looseObject({text: z.string().default('')});

const completionSchema = z.looseObject({choices: z.array(choiceSchema).min(1)});

const terminalData = '[DONE]';

/** What was asked for. */
export type Expectation = {id: string; tokens: number; checkTags: boolean};

/** Judges the text of an answer that claims to be whole. */
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

/** Text of a whole answer; undefined when it is none. */
export function readCompletion(body: string): string | undefined {
	try {
		const parsed = completionSchema.safeParse(JSON.parse(body));
		return parsed.success ? parsed.data.choices[0]!.text : undefined;
	} catch {
		return undefined;
	}
}

/** Gathers the text of a stream. */
export class StreamReader {
	text = '';
	/** Whether the terminal event has come. */
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
