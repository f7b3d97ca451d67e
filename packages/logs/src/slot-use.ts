/**
 * Measures how many slots of each endpoint were in use over time, by model.
 */
import {groupBy} from '@wasabiusher/shared';
import type {EndpointUse} from './step-history.js';

/** Mean number of slots in use in each interval, for one endpoint and model. */
export type SlotUse = {endpoint: string; model: string; used: number[]};

/**
 * Measures the mean use in intervals of `stepMs` milliseconds from `from` to `to`, both in milliseconds since the epoch.
 *
 * @returns one entry per endpoint and model in use, sorted by model, then by endpoint
 */
export function measureSlots(runs: readonly EndpointUse[], from: number, to: number, stepMs: number): SlotUse[] {
	const intervals = Math.max(1, Math.ceil((to - from) / stepMs));
	const groups = groupBy(runs, ({endpoint, model}) => `${model} ${endpoint}`);
	return [...groups.values()].map(uses => ({
		endpoint: uses[0]!.endpoint,
		model: uses[0]!.model,
		used: Array.from({length: intervals}, (_, i) => sumOverlap(uses, from + (i * stepMs), from + ((i + 1) * stepMs)) / stepMs),
	})).toSorted((a, b) => a.model.localeCompare(b.model) || a.endpoint.localeCompare(b.endpoint));
}

function sumOverlap(uses: readonly EndpointUse[], from: number, to: number): number {
	return uses.reduce((sum, use) => sum + Math.max(0, Math.min(use.to, to) - Math.max(use.from, from)), 0);
}
