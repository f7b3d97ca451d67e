/**
 * Generation requests to a model engine and their results, independent of the engine's wire format.
 */
import {z} from 'zod';

export const messageSchema = z.object({role: z.string(), content: z.string()});

export const generationRequestSchema = z.object({
	/** `model` or `model:adapter`. */
	model: z.string().min(1),
	/** Text to continue; chats use `messages` instead. */
	prompt: z.string().optional(),
	messages: z.array(messageSchema).optional(),
	/** Maximum number of tokens to generate. */
	maxTokens: z.int().min(1).max(1_000_000),
	temperature: z.number().min(0).max(10).optional(),
	seed: z.int().optional(),
	/** Generated text of an earlier attempt, to continue from. */
	resumeFrom: z.string().optional(),
});

export type GenerationRequest = z.infer<typeof generationRequestSchema>;

/** One part of a result: its text, the number of its tokens and the weight version that generated it. */
export const generationPartSchema = z.object({
	text: z.string(),
	tokens: z.int().nonnegative(),
	version: z.int().nonnegative(),
});

export type GenerationPart = z.infer<typeof generationPartSchema>;

/** Why a generation ended; a generation without a reason is incomplete. */
export const finishReasonSchema = z.enum(['stop', 'length']);

export type FinishReason = z.infer<typeof finishReasonSchema>;
