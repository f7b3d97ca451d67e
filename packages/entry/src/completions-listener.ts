/**
 * What becomes of a completion's events: one whole answer, or a stream.
 */
import type {ServerResponse} from 'node:http';
import {sendJson} from '@wasabiusher/daemon';
import {
	appendSpan, type FinishReason, type GenerationPart, type Problem, type VersionSpan,
} from '@wasabiusher/shared';
import type {CallListener} from '@wasabiusher/systems';
import {sendEvent, sendProblem, startEvents} from './answers.js';
import {ChunkWriter, createWholeBody, type AnswerIdentity} from './completions-layout.js';

/** An engine that gives no reason has come to its own end. */
const defaultReason: FinishReason = 'stop';

/** Collects an answer and sends it when it is whole. */
export function createWholeListener(identity: AnswerIdentity, response: ServerResponse): CallListener {
	let text = '';
	let versions: VersionSpan[] = [];
	return {
		onEvent(event) {
			if (event.kind === 'parts') {
				for (const part of event.parts) {
					text += part.text;
					versions = appendSpan(versions, part.version, part.tokens);
				}
			} else if (event.kind === 'finished') {
				sendJson(response, 200, createWholeBody(identity, {
					text, versions, tokens: countTokens(versions), reason: event.reason ?? defaultReason,
				}));
			}
		},
		onRestart() {
			text = '';
			versions = [];
			return true;
		},
		onFailed(problem) {
			sendProblem(response, problem);
		},
	};
}

export type StreamOptions = {
	hasUsage: boolean;
	/** The connection takes no more for now. */
	onFull(): void;
};

/** Passes parts on as they come; the terminal event is sent only after a whole answer. */
export function createStreamListener(identity: AnswerIdentity, response: ServerResponse, {hasUsage, onFull}: StreamOptions): CallListener {
	const writer = new ChunkWriter(identity);
	let tokens = 0;
	return {
		onEvent(event) {
			if (!response.headersSent) {
				startEvents(response);
			}

			if (event.kind === 'parts') {
				const {text, versions} = joinParts(event.parts, tokens);
				tokens = versions.at(-1)?.to ?? tokens;
				if (!sendEvent(response, writer.formatText(text, versions))) {
					onFull();
				}
			} else if (event.kind === 'finished') {
				sendEvent(response, writer.formatFinish(event.reason ?? defaultReason));
				if (hasUsage) {
					sendEvent(response, writer.formatUsage(tokens));
				}

				sendEvent(response, '[DONE]');
				response.end();
			}
		},
		onRestart: () => !response.headersSent,
		onFailed(problem) {
			failStream(response, problem);
		},
	};
}

/** Once the status is sent, an event tells that the stream is not whole, and no terminal event follows. */
function failStream(response: ServerResponse, problem: Problem): void {
	if (response.headersSent) {
		sendEvent(response, {...problem, error: {message: problem.detail, type: problem.kind}}, 'error');
		response.end();
	} else {
		sendProblem(response, problem);
	}
}

function countTokens(versions: readonly VersionSpan[]): number {
	return versions.at(-1)?.to ?? 0;
}

/** The text of parts, and their versions by the tokens' places in the whole answer. */
function joinParts(parts: readonly GenerationPart[], start: number): {text: string; versions: VersionSpan[]} {
	const [only] = parts;
	if (only && parts.length === 1) {
		return {text: only.text, versions: [{version: only.version, from: start, to: start + only.tokens}]};
	}

	let text = '';
	let spans: VersionSpan[] = [];
	for (const part of parts) {
		text += part.text;
		spans = appendSpan(spans, part.version, part.tokens);
	}

	return {text, versions: spans.map(({version, from, to}) => ({version, from: from + start, to: to + start}))};
}
