/**
 * Bodies of completion requests. Fields that are not known are let pass, since clients
 * send many; those that are known and can't be honoured are refused by name.
 */
import {z} from 'zod';
import type {GenerationRequest} from '@wasabiusher/shared';

/** Tokens made when the caller does not say, as is customary for this interface. */
const defaultMaxTokens = 256;

/** Most tokens of one answer. */
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

/** A prompt alone, or the only one of a list. */
const promptSchema = z.union([
	z.string(),
	z.tuple([z.string()]).transform(([prompt]) => prompt),
], 'expected a text or a list of one text');

/** Text, the text parts of a message, or none, as in messages that only call tools. */
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

/** The two shapes of the interface: completions of a text, and of a chat. */
export type Shape = keyof typeof bodySchemas;

/** A completion as it was asked for. */
export type CompletionOrder = {
	generation: GenerationRequest;
	isStream: boolean;
	/** Whether a stream tells its token count before it ends. */
	hasUsage: boolean;
};

function createOrder(body: z.infer<typeof bodySchemas.text | typeof bodySchemas.chat>, input: Pick<GenerationRequest, 'prompt' | 'messages'>, maxTokens: number | undefined): CompletionOrder {
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

/** Each shape's body as a completion order. */
export const orderSchemas = {
	text: bodySchemas.text.transform(body => createOrder(body, {prompt: body.prompt}, body.max_tokens ?? undefined)),
	chat: bodySchemas.chat.transform(body => createOrder(body, {messages: body.messages}, body.max_completion_tokens ?? body.max_tokens ?? undefined)),
} as const;

/** Start of what the model reads, by which requests with cached text in common are recognised. */
export function formatPrefix({prompt, messages}: GenerationRequest): string {
	return prompt ?? (messages ?? []).map(({role, content}) => `${role}\n${content}`).join('\n');
}
