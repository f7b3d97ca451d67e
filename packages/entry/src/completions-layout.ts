/**
 * Formats the responses and stream chunks of each shape, as clients of model servers expect them.
 */
import type {FinishReason, VersionSpan} from '@wasabiusher/shared';
import type {Shape} from './completions-body.js';

type Layout = {
	object: string;
	chunkObject: string;
	/** JSON of a chunk's choice that precedes its text. */
	deltaStart: string;
	/** The same for the first chunk of a stream. */
	firstDeltaStart: string;
	/** JSON that follows the text. */
	deltaEnd: string;
	createChoice(text: string): Record<string, unknown>;
};

/** A complete answer. */
export type CompleteAnswer = {text: string; tokens: number; versions: VersionSpan[]; reason: FinishReason};

const layouts: Readonly<Record<Shape, Layout>> = {
	text: {
		object: 'text_completion',
		chunkObject: 'text_completion',
		createChoice: text => ({text}),
		deltaStart: '"text":',
		firstDeltaStart: '"text":',
		deltaEnd: '',
	},
	chat: {
		object: 'chat.completion',
		chunkObject: 'chat.completion.chunk',
		createChoice: content => ({message: {role: 'assistant', content}}),
		deltaStart: '"delta":{"content":',
		firstDeltaStart: '"delta":{"role":"assistant","content":',
		deltaEnd: '}',
	},
};

/** The fields that all chunks of one answer share. */
export type AnswerIdentity = {
	shape: Shape;
	id: string;
	model: string;
	/** Seconds since the epoch. */
	created: number;
};

/** Creates the response body of a complete answer. */
export function createCompletionBody({shape, id, model, created}: AnswerIdentity, answer: CompleteAnswer): Record<string, unknown> {
	const {object, createChoice} = layouts[shape];
	const {text, tokens, versions, reason} = answer;
	return {
		id, object, created, model, choices: [{index: 0, ...createChoice(text), finish_reason: reason}], usage: {completion_tokens: tokens}, versions,
	};
}

/** Formats the chunks of one stream. The constant parts are encoded once, since encoding every chunk in full dominates the cost of an event. */
export class ChunkWriter {
	readonly #head: string;
	readonly #layout: Layout;
	#isFirst = true;

	constructor({shape, id, model, created}: AnswerIdentity) {
		this.#layout = layouts[shape];
		this.#head = `${JSON.stringify({
			id, object: this.#layout.chunkObject, created, model,
		}).slice(0, -1)},`;
	}

	/** Formats a chunk of text with the weight versions that generated its tokens. */
	formatText(text: string, versions: readonly VersionSpan[]): string {
		return `${this.#head}"choices":[{"index":0,${this.#formatDelta(text)},"finish_reason":null}],"versions":${formatSpans(versions)}}`;
	}

	/** Formats the final chunk, which has an empty text and the finish reason. */
	formatFinish(reason: FinishReason): string {
		return `${this.#head}"choices":[{"index":0,${this.#formatDelta('')},"finish_reason":"${reason}"}]}`;
	}

	formatUsage(tokens: number): string {
		return `${this.#head}"choices":[],"usage":{"completion_tokens":${tokens}}}`;
	}

	#formatDelta(text: string): string {
		const {firstDeltaStart, deltaStart, deltaEnd} = this.#layout;
		const start = this.#isFirst ? firstDeltaStart : deltaStart;
		this.#isFirst = false;
		return start + JSON.stringify(text) + deltaEnd;
	}
}

function formatSpans(spans: readonly VersionSpan[]): string {
	return `[${spans.map(({version, from, to}) => `{"version":${version},"from":${from},"to":${to}}`).join(',')}]`;
}
