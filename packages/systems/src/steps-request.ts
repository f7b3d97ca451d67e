/**
 * What a trainer asks for in a step, and the places of its samples.
 */
import {formatSampleId, hashText, profileSchema} from '@wasabiusher/shared';
import {z} from 'zod';

/** A step as it was accepted; kept in the record, so that another entry can go on with it. */
export const stepRequestSchema = z.object({
	id: z.string(),
	profileName: z.string(),
	/** As it was in force when the step was opened: a step keeps its terms. */
	profile: profileSchema,
	service: z.string(),
	trainer: z.string(),
	model: z.string(),
	groups: z.array(z.object({prompt: z.string()})),
	groupSize: z.int().positive(),
	maxTokens: z.int().positive(),
});

export type StepRequest = z.infer<typeof stepRequestSchema>;

/** Hashes what the trainer asked for; the profile's terms may have changed between two posts of one step. */
export function hashStepRequest({id, profileName, trainer, model, groups, groupSize, maxTokens}: StepRequest): string {
	return hashText(JSON.stringify([id, profileName, trainer, model, groups.map(({prompt}) => prompt), groupSize, maxTokens]));
}

export function countSamples({groups, groupSize}: StepRequest): number {
	return groups.length * groupSize;
}

/** The place in the step of a sample of a group. */
export function toPlace({groupSize}: StepRequest, group: number, index: number): number {
	return (group * groupSize) + index;
}

/** The id of the sample at a place. */
export function formatPlace({id, groupSize}: StepRequest, place: number): string {
	return formatSampleId(id, Math.floor(place / groupSize), place % groupSize);
}

/** The place of a sample by its id; undefined if the step has no such sample. */
export function parsePlace(request: StepRequest, sampleId: string): number | undefined {
	const [group = '', index = ''] = sampleId.slice(request.id.length + 1).split('/');
	const place = toPlace(request, Number(group), Number(index));
	return Number.isSafeInteger(place) && place >= 0 && place < countSamples(request) && formatPlace(request, place) === sampleId ? place : undefined;
}
