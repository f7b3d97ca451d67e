/**
 * Schemas of completion request bodies. Unknown fields are ignored, since client libraries
 * send many; known fields with unsupported values are rejected by name.
 */
import {z} from 'zod';
import type {GenerationRequest} from '@wasabiusher/shared';

/** Default limit of generated tokens, as is usual for this API. */
const defaultMaxTokens = 256;

/** Maximum number of tokens in one response. */
const maxMaxTokens = 1_000_000;

const tokensSchema = z.int().min(1).max(maxMaxTokens).nullish();

const commonShape = {
	model: z.string().min(1),
	max_tokens: tokensSchema,
	temperature: z.number().min(0).max(10).nullish(),
	seed: z.int().nullish(),
	stream: z.boolean().nullish(),
	stream_options: z.object({include_usage: z.boolean().nullish()}).nullish(),
	n: z.literal(1, 'expected 1; send a request for each answer').nullish(),
};

/** A prompt, or a list with exactly one prompt. */
const promptSchema = z.union([
	z.string(),
	z.tuple([z.string()]).transform(([prompt]) => prompt),
], 'expected a text or a list of one text');

/** A string, a list of text parts, or null as in messages that only call tools. */
const contentSchema = z.union([
	z.string(),
	z.null().transform(() => ''),
	z.array(z.object({type: z.literal('text'), text: z.string()})).transform(parts => parts.map(({text}) => text).join('')),
], 'expected a text or a list of text parts');

const chatMessageSchema = z.object({role: z.string(), content: contentSchema});

const bodySchemas = {
	text: z.object({...commonShape, prompt: promptSchema}),
	chat: z.object({...commonShape, max_completion_tokens: tokensSchema, messages: z.array(chatMessageSchema).min(1)}),
};

/** The two shapes of the API: text completions and chat completions. */
export type Shape = keyof typeof bodySchemas;

/** A validated completion request. */
export type CompletionRequest = {
	generation: GenerationRequest;
	isStream: boolean;
	/** Whether a stream reports its token count before it ends. */
	hasUsage: boolean;
};

function createRequest(body: z.infer<typeof bodySchemas.text | typeof bodySchemas.chat>, input: Pick<GenerationRequest, 'prompt' | 'messages'>, maxTokens: number | undefined): CompletionRequest {
	return {
		generation: {
			model: body.model,
			maxTokens: maxTokens ?? defaultMaxTokens,
			...input,
			...(typeof body.temperature === 'number' ? {temperature: body.temperature} : {}),
			...(typeof body.seed === 'number' ? {seed: body.seed} : {}),
		},
		isStream: body.stream ?? false,
		hasUsage: body.stream_options?.include_usage ?? false,
	};
}

/** Schemas that parse the body of each shape into a completion request. */
export const requestSchemas = {
	text: bodySchemas.text.transform(body => createRequest(body, {prompt: body.prompt}, body.max_tokens ?? undefined)),
	chat: bodySchemas.chat.transform(body => createRequest(body, {messages: body.messages}, body.max_completion_tokens ?? body.max_tokens ?? undefined)),
} as const;

/** Returns the input of the model as text; requests that share a prefix of it can share cached state. */
export function formatPrefix({prompt, messages}: GenerationRequest): string {
	return prompt ?? (messages ?? []).map(({role, content}) => `${role}\n${content}`).join('\n');
}
