/**
 * One attempt at a sample: a dispatched call, and the draft that its parts are collected into.
 */
import {
	appendSpan, hashText, type GenerationPart, type GenerationRequest, type Problem, type VersionSpan,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, Dispatcher,
} from './dispatcher.js';
import {formatSampleIdAt, type StepRequest} from './steps-request.js';

/** The part of a sample generated so far; the versions are those that the engine reports. */
export type Draft = {text: string; tokens: number; versions: VersionSpan[]};

/** A dispatched attempt. */
export type SampleAttempt = {
	readonly draft: Draft;
	/** Endpoints where the attempt runs; empty while it waits. */
	readonly endpoints: readonly string[];
	/** Stops the attempt; its listener is not called any more. */
	cancel(): void;
};

/** Exactly one of the two methods is called, unless the attempt is cancelled. */
export type SampleAttemptListener = {
	onFinished(draft: Draft): void;
	onFailed(problem?: Problem): void;
};

/** Describes the attempt to start. */
export type SampleAttemptOptions = {
	request: StepRequest;
	position: number;
	attempt: string;
	/** Endpoints where other attempts at the same sample run. */
	avoid: readonly string[];
};

/** Dispatches one attempt at the sample at a position. */
export function startSampleAttempt(dispatcher: Pick<Dispatcher, 'submit'>, {request, position, attempt, avoid}: SampleAttemptOptions, listener: SampleAttemptListener): SampleAttempt {
	let draft = createDraft();
	let isEnded = false;
	let isCancelled = false;
	// A dispatcher may refuse synchronously, before the caller has received the attempt, so the report is deferred.
	const end = (report: () => void) => {
		isEnded = true;
		void Promise.resolve().then(() => {
			if (!isCancelled) {
				report();
			}
		});
	};

	const callListener: CallListener = {
		onEvent(event) {
			if (event.kind === 'parts') {
				for (const part of event.parts) {
					draft = extendDraft(draft, part);
				}
			} else if (event.kind === 'finished') {
				end(() => {
					// A generation that ended without a finish reason is incomplete.
					if (event.reason === undefined) {
						listener.onFailed();
					} else {
						listener.onFinished(draft);
					}
				});
			}
		},
		onRestart() {
			draft = createDraft();
			return true;
		},
		onFailed(problem) {
			end(() => {
				listener.onFailed(problem);
			});
		},
	};
	const run = dispatcher.submit(createCall({
		request, position, attempt, avoid,
	}), callListener);
	return {
		get draft() {
			return draft;
		},
		get endpoints() {
			return run.endpoints ?? [];
		},
		cancel() {
			isCancelled = true;
			if (!isEnded) {
				run.cancel();
			}
		},
	};
}

function createDraft(): Draft {
	return {text: '', tokens: 0, versions: []};
}

function extendDraft({text, tokens, versions}: Draft, part: GenerationPart): Draft {
	return {text: text + part.text, tokens: tokens + part.tokens, versions: appendSpan(versions, part.version, part.tokens)};
}

function createCall({request, position, attempt, avoid}: SampleAttemptOptions): Call {
	const {
		groups, groupSize, model, maxTokens, profile, profileName, service, trainer,
	} = request;
	const {prompt} = groups[Math.floor(position / groupSize)]!;
	const generation: GenerationRequest = {model, prompt, maxTokens};
	return {
		id: `${formatSampleIdAt(request, position)}#${attempt}`,
		service,
		model,
		work: {kind: 'generate', request: generation},
		caller: trainer,
		profileName,
		profile,
		deadlineAt: performance.now() + profile.deadlineMs,
		cost: maxTokens,
		fingerprint: hashText(prompt),
		prefix: prompt,
		avoid,
	};
}
