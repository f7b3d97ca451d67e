/**
 * Checks a run: compares the outcomes that callers received with what the endpoints actually executed.
 */
import {createExpectedText, type Request} from './callers.js';
import type {World} from './world.js';

/** Counts the executions of a request at the endpoints. An interrupted execution of a query counts too. */
function countRuns({engines, postings}: World, {kind, content}: Request): number {
	if (kind === 'posting') {
		return postings.get(content) ?? 0;
	}

	return engines.reduce((sum, {runs}) => sum + (runs.get(content) ?? 0), 0);
}

/** Rules that hold for every request: the name that is printed, and the predicate. */
const checks: ReadonlyArray<[string, (world: World, request: Request) => boolean]> = [
	['each try ends once', (_world, {extraEnds}) => extraEnds === 0],
	['every request ends', (_world, {told}) => told.length > 0 && told.at(-1)!.kind !== 'broken'],
	['an answer is whole and the request\'s own', (_world, request) => request.told.every(told => told.kind !== 'answered' || told.text === createExpectedText(request))],
	['a posting runs at most once', (world, request) => request.kind === 'query' || countRuns(world, request) <= 1],
	['what was answered has run', (world, request) => request.told.every(told => told.kind !== 'answered') || countRuns(world, request) > 0],
	['"not run" is true', (world, request) => !request.told.every(told => told.kind === 'failed' && told.problem.ran === 'no') || countRuns(world, request) === 0],
];

/** Returns one line for each broken rule; empty if all rules hold. */
export function findBroken(world: World, requests: readonly Request[]): string[] {
	const lines: string[] = [];
	for (const request of requests) {
		for (const [name, holds] of checks) {
			if (!holds(world, request)) {
				lines.push(`${name}: ${request.id} ${request.content}, run ${countRuns(world, request)} times, told ${JSON.stringify(request.told)}`);
			}
		}
	}

	return lines;
}

/** Describes the last outcome of a request for the fault matrix; `open` if the request has not ended. */
export function summarizeEnd({told}: Request): string {
	const last = told.at(-1);
	if (!last || last.kind === 'broken') {
		return 'open';
	}

	return last.kind === 'answered' ? 'answered' : `told ran: ${last.problem.ran}`;
}
