/**
 * `wasabiusher explain`: shows the history of one id from log files, and the line that decided its outcome.
 */
import {z} from 'zod';
import {
	explainId, LogFileError, type ExplainedLine, type Explanation,
} from '@wasabiusher/logs';
import {defineCommand, jsonShape, logsSchema} from './command.js';
import {CliError} from './errors.js';

function formatLine({timeMs, host, event, values, isRelated}: ExplainedLine, isDecided: boolean): string {
	const marker = isDecided ? '>' : ' ';
	const pairs = Object.entries(values).map(([key, value]) => `${key}=${/[\s"]/v.test(value) ? JSON.stringify(value) : value}`);
	return [marker, new Date(timeMs).toISOString().slice(11, 23), host || '-', isRelated ? '.' : event, isRelated ? event : '', ...pairs].filter(Boolean).join(' ');
}

function formatExplanation({
	id, kind, lines, decided, offsets, omitted, count,
}: Explanation): string {
	const clockOffsets = Object.entries(offsets).map(([host, offset]) => `${host} ${offset > 0 ? '+' : ''}${(offset / 1000).toFixed(1)} s`);
	return [
		`${kind} ${id}: ${lines.length} of ${count.lines} lines; ${count.skipped} could not be read${omitted === 0 ? '' : `; ${omitted} more left out`}`,
		...(clockOffsets.length === 0 ? [] : [`clocks put right: ${clockOffsets.join(', ')}`]),
		decided === undefined ? 'nothing has decided yet' : `decided by: ${lines[decided]!.event} at ${lines[decided]!.host || '-'}`,
		'',
		...lines.map((line, i) => formatLine(line, i === decided)),
	].join('\n');
}

export const explainCommand = defineCommand({
	positional: 'id',
	summary: 'Tells the history of an id from log files: a request, sample, batch, endpoint, host, lease, model or version',
	schema: z.object({
		id: z.string().min(1).describe('what is to be explained'),
		logs: logsSchema,
		...jsonShape,
	}),
	async run({id, logs}) {
		try {
			const explanation = await explainId(id, logs);
			if (explanation.kind === undefined) {
				throw new CliError('failed', `nothing names ${id} in ${explanation.count.lines} lines of ${logs.join(', ')}`);
			}

			return {json: explanation, text: formatExplanation(explanation)};
		} catch (error) {
			if (error instanceof LogFileError) {
				throw new CliError('failed', error.message, {}, error);
			}

			throw error;
		}
	},
});
