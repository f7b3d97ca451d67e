/**
 * How answers of each shape are laid out, as clients of model servers expect them.
 */
import type {FinishReason, VersionSpan} from '@wasabiusher/shared';
import type {Shape} from './completions-body.js';

type Layout = {
	object: string;
	chunkObject: string;
	/** JSON of a chunk's choice up to its text, which follows at once. */
	deltaStart: string;
	/** The same for the first chunk of a stream. */
	firstDeltaStart: string;
	/** JSON after the text. */
	deltaEnd: string;
	createChoice(text: string): Record<string, unknown>;
};

/** An answer once it is whole. */
export type WholeAnswer = {text: string; tokens: number; versions: VersionSpan[]; reason: FinishReason};

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

/** What all chunks of one answer have in common. */
export type AnswerIdentity = {
	shape: Shape;
	id: string;
	model: string;
	/** Seconds since the epoch. */
	created: number;
};

/** The body of a whole answer. */
export function createWholeBody({shape, id, model, created}: AnswerIdentity, answer: WholeAnswer): Record<string, unknown> {
	const {object, createChoice} = layouts[shape];
	const {text, tokens, versions, reason} = answer;
	return {
		id, object, created, model, choices: [{index: 0, ...createChoice(text), finish_reason: reason}], usage: {completion_tokens: tokens}, versions,
	};
}

/** Writes the chunks of one stream, its constant parts encoded once: encoding each whole costs most of an event. */
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

	/** A chunk of text and the versions that made its tokens. */
	formatText(text: string, versions: readonly VersionSpan[]): string {
		return `${this.#head}"choices":[{"index":0,${this.#formatDelta(text)},"finish_reason":null}],"versions":${formatSpans(versions)}}`;
	}

	/** The last chunk of text, which has none. */
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
