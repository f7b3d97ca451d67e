/**
 * One attempt at a sample: a call that is dispatched, and the draft that its parts make.
 */
import {
	appendSpan, hashText, type GenerationPart, type GenerationRequest, type Problem, type VersionSpan,
} from '@wasabiusher/shared';
import type {
	Call, CallListener, Dispatcher,
} from './dispatcher.js';
import {formatPlace, type StepRequest} from './steps-request.js';

/** What has been made of a sample so far; the versions are the engine's own word. */
export type Draft = {text: string; tokens: number; versions: VersionSpan[]};

/** An attempt on its way. */
export type Drawing = {
	readonly draft: Draft;
	/** Where it runs; empty while it waits. */
	readonly endpoints: readonly string[];
	/** Stops the work; its listener hears nothing more. */
	cancel(): void;
};

/** Exactly one of the two is called, unless the attempt is cancelled. */
export type DrawingListener = {
	onFinished(draft: Draft): void;
	onFailed(problem?: Problem): void;
};

/** Which attempt to make. */
export type DrawingOrder = {
	request: StepRequest;
	place: number;
	attempt: string;
	/** Endpoints where other attempts at the place run. */
	avoid: readonly string[];
};

/** Dispatches one attempt at the sample of a place. */
export function drawSample(dispatcher: Pick<Dispatcher, 'submit'>, {request, place, attempt, avoid}: DrawingOrder, listener: DrawingListener): Drawing {
	let draft = createDraft();
	let isOver = false;
	let isCancelled = false;
	// A dispatcher may refuse while it is still being asked, and the caller does not have its drawing yet then.
	const end = (report: () => void) => {
		isOver = true;
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
					// A generation that ended without a reason is not whole.
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
		request, place, attempt, avoid,
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
			if (!isOver) {
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

function createCall({request, place, attempt, avoid}: DrawingOrder): Call {
	const {
		groups, groupSize, model, maxTokens, profile, profileName, service, trainer,
	} = request;
	const {prompt} = groups[Math.floor(place / groupSize)]!;
	const generation: GenerationRequest = {model, prompt, maxTokens};
	return {
		id: `${formatPlace(request, place)}#${attempt}`,
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
