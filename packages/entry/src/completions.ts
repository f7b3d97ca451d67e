/**
 * `POST /v1/completions` and `POST /v1/chat/completions`, in the shape that clients of model servers speak.
 */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {readJson, sendJson, type Exchange} from '@wasabiusher/daemon';
import {
	appendSpan, createProblem, hashText, messageSchema, type Configuration, type GenerationPart, type GenerationRequest, type VersionSpan,
} from '@wasabiusher/shared';
import type {CallListener, Dispatcher} from '@wasabiusher/systems';
import {sendEvent, sendProblem, startEvents} from './answers.js';
import {readCallHeaders} from './call-headers.js';
import {ProblemError} from './errors.js';

/** Tokens made when the caller does not say, as is customary for this interface. */
const defaultMaxTokens = 256;

const commonShape = {
	model: z.string().min(1),
	max_tokens: z.int().min(1).max(1_000_000).default(defaultMaxTokens),
	temperature: z.number().min(0).max(10).optional(),
	seed: z.int().optional(),
	stream: z.boolean().default(false),
};

const bodySchemas = {
	text: z.object({...commonShape, prompt: z.string()}),
	chat: z.object({...commonShape, messages: z.array(messageSchema).min(1)}),
};

type Shape = keyof typeof bodySchemas;

type Body = z.infer<typeof bodySchemas.text> | z.infer<typeof bodySchemas.chat>;

/** How each shape names its objects and lays out a choice. */
const layouts = {
	text: {
		object: 'text_completion',
		chunkObject: 'text_completion',
		createChoice: (text: string) => ({text}),
		createDelta: (text: string) => ({text}),
	},
	chat: {
		object: 'chat.completion',
		chunkObject: 'chat.completion.chunk',
		createChoice: (content: string) => ({message: {role: 'assistant', content}}),
		createDelta: (content: string) => ({delta: {content}}),
	},
} as const;

export type CompletionRoutes = {
	dispatcher: Dispatcher;
	configuration(): Configuration;
};

function parseBody(shape: Shape, value: unknown): Body {
	const parsed = bodySchemas[shape].safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new ProblemError(createProblem('bad-request', `field ${issue.path.join('.')}: ${issue.message}`, 'no'));
	}

	return parsed.data;
}

function toGeneration(body: Body): GenerationRequest {
	const {model, max_tokens: maxTokens, temperature, seed} = body;
	return {
		model, maxTokens, temperature, seed, ...('prompt' in body ? {prompt: body.prompt} : {messages: body.messages}),
	};
}

/** Finds the pool that serves a model. */
export function findModelService({services}: Configuration, model: string): string {
	const found = Object.entries(services).find(([, service]) => service.kind === 'model' && service.models.includes(model));
	if (!found) {
		throw new ProblemError(createProblem('not-found', `no service has the model "${model}"`, 'no'));
	}

	return found[0];
}

/** Handles one exchange of either shape. */
export async function handleCompletion(shape: Shape, {request, response}: Exchange, {dispatcher, configuration}: CompletionRoutes): Promise<void> {
	const headers = readCallHeaders(request, configuration());
	const body = parseBody(shape, await readJson(request));
	const service = findModelService(configuration(), body.model);
	const generation = toGeneration(body);
	const id = randomUUID();
	const listener = (body.stream ? createStreamListener : createWholeListener)(shape, id, body.model, response);
	const run = dispatcher.submit({
		id,
		service,
		model: body.model,
		work: {kind: 'generate', request: generation},
		caller: headers.caller,
		profileName: headers.profileName,
		profile: headers.profile,
		deadlineAt: headers.deadlineAt,
		cost: body.max_tokens,
		fingerprint: hashText(JSON.stringify(generation)),
	}, listener);
	response.on('close', () => {
		run.cancel();
	});
}

type ListenerFactory = (shape: Shape, id: string, model: string, response: ServerResponse) => CallListener;

const createWholeListener: ListenerFactory = (shape, id, model, response) => {
	let parts: GenerationPart[] = [];
	return {
		onEvent(event) {
			if (event.kind === 'parts') {
				parts.push(...event.parts);
			} else if (event.kind === 'finished') {
				const layout = layouts[shape];
				const text = parts.map(part => part.text).join('');
				sendJson(response, 200, {
					id,
					object: layout.object,
					model,
					choices: [{index: 0, ...layout.createChoice(text), finish_reason: event.reason ?? 'stop'}],
					usage: {completion_tokens: parts.reduce((sum, part) => sum + part.tokens, 0)},
					versions: listSpans(parts),
				});
			}
		},
		onRestart() {
			parts = [];
			return true;
		},
		onFailed(problem) {
			sendProblem(response, problem);
		},
	};
};

const createStreamListener: ListenerFactory = (shape, id, model, response) => {
	const layout = layouts[shape];
	return {
		onEvent(event) {
			if (!response.headersSent) {
				startEvents(response);
			}

			if (event.kind === 'parts') {
				const text = event.parts.map(part => part.text).join('');
				sendEvent(response, {
					id, object: layout.chunkObject, model, choices: [{index: 0, ...layout.createDelta(text)}], versions: listSpans(event.parts),
				});
			} else if (event.kind === 'finished') {
				sendEvent(response, {
					id, object: layout.chunkObject, model, choices: [{index: 0, ...layout.createDelta(''), finish_reason: event.reason ?? 'stop'}],
				});
				sendEvent(response, '[DONE]');
				response.end();
			}
		},
		onRestart: () => !response.headersSent,
		onFailed(problem) {
			if (response.headersSent) {
				// The status is sent already; the event tells that the stream is not whole, and no terminal event follows.
				sendEvent(response, problem, 'error');
				response.end();
			} else {
				sendProblem(response, problem);
			}
		},
	};
};

function listSpans(parts: readonly GenerationPart[]): VersionSpan[] {
	let spans: VersionSpan[] = [];
	for (const part of parts) {
		spans = appendSpan(spans, part.version, part.tokens);
	}

	return spans;
}
