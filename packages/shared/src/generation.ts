/**
 * What is asked of a model engine and what it answers, with no wire format in it.
 */
import {z} from 'zod';

export const messageSchema = z.object({role: z.string(), content: z.string()});

export const generationRequestSchema = z.object({
	/** `model` or `model:adapter`. */
	model: z.string().min(1),
	/** Text after which generation goes on; chats are given as messages instead. */
	prompt: z.string().optional(),
	messages: z.array(messageSchema).optional(),
	/** Most tokens to make. */
	maxTokens: z.int().min(1).max(1_000_000),
	temperature: z.number().min(0).max(10).optional(),
	seed: z.int().optional(),
	/** Text already generated, to go on from. */
	resumeFrom: z.string().optional(),
});

export type GenerationRequest = z.infer<typeof generationRequestSchema>;

/** One part of an answer: text, how many tokens it is, and the version that made it. */
export const generationPartSchema = z.object({
	text: z.string(),
	tokens: z.int().nonnegative(),
	version: z.int().nonnegative(),
});

export type GenerationPart = z.infer<typeof generationPartSchema>;

/** Why a generation ended; without one of these it is not whole. */
export const finishReasonSchema = z.enum(['stop', 'length']);

export type FinishReason = z.infer<typeof finishReasonSchema>;
