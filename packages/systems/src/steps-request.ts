/**
 * What a trainer requests in a step, and the positions of its samples.
 */
import {formatSampleId, hashText, profileSchema} from '@wasabiusher/shared';
import {z} from 'zod';

/** A step as it was accepted; stored in the record, so that another entry can continue it. */
export const stepRequestSchema = z.object({
	id: z.string(),
	profileName: z.string(),
	/** The profile in force when the step was opened; later changes do not apply to the step. */
	profile: profileSchema,
	service: z.string(),
	trainer: z.string(),
	model: z.string(),
	groups: z.array(z.object({prompt: z.string()})),
	groupSize: z.int().positive(),
	maxTokens: z.int().positive(),
});

export type StepRequest = z.infer<typeof stepRequestSchema>;

/** Hashes what the trainer requested, without the profile's content, which may have changed between two posts of one step. */
export function hashStepRequest({id, profileName, trainer, model, groups, groupSize, maxTokens}: StepRequest): string {
	return hashText(JSON.stringify([id, profileName, trainer, model, groups.map(({prompt}) => prompt), groupSize, maxTokens]));
}

export function countSamples({groups, groupSize}: StepRequest): number {
	return groups.length * groupSize;
}

/** Returns the position in the step of a sample of a group. */
export function toPosition({groupSize}: StepRequest, group: number, index: number): number {
	return (group * groupSize) + index;
}

/** Returns the id of the sample at a position. */
export function formatSampleIdAt({id, groupSize}: StepRequest, position: number): string {
	return formatSampleId(id, Math.floor(position / groupSize), position % groupSize);
}

/** Returns the position of a sample by its id; undefined if the step has no such sample. */
export function findPosition(request: StepRequest, sampleId: string): number | undefined {
	const [group = '', index = ''] = sampleId.slice(request.id.length + 1).split('/');
	const position = toPosition(request, Number(group), Number(index));
	return Number.isSafeInteger(position) && position >= 0 && position < countSamples(request) && formatSampleIdAt(request, position) === sampleId ? position : undefined;
}
