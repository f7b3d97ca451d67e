/**
 * Turns the events of a completion into a single response or a stream.
 */
import type {ServerResponse} from 'node:http';
import {sendJson} from '@wasabiusher/daemon';
import {
	appendSpan, type FinishReason, type GenerationPart, type Problem, type VersionSpan,
} from '@wasabiusher/shared';
import type {CallListener} from '@wasabiusher/systems';
import {sendEvent, sendProblem, startEventStream} from './answers.js';
import {ChunkWriter, createCompletionBody, type AnswerIdentity} from './completions-layout.js';

/** Finish reason when the engine reports none: the model stopped by itself. */
const defaultReason: FinishReason = 'stop';

/** Collects an answer and sends it when it is complete. */
export function createCollectingListener(identity: AnswerIdentity, response: ServerResponse): CallListener {
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
				sendJson(response, 200, createCompletionBody(identity, {
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
	/** Called when the write buffer of the connection is full. */
	onBackpressure(): void;
};

/** Streams parts as they arrive; sends the terminal event only after a complete answer. */
export function createStreamListener(identity: AnswerIdentity, response: ServerResponse, {hasUsage, onBackpressure: onFull}: StreamOptions): CallListener {
	const writer = new ChunkWriter(identity);
	let tokens = 0;
	return {
		onEvent(event) {
			if (!response.headersSent) {
				startEventStream(response);
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

/** Reports a failure. Once the headers are sent, it does so by an error event without a terminal event, so that the stream counts as incomplete. */
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

/** Joins the text of parts, and their versions with token offsets from the start of the answer. */
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
