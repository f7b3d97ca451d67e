/**
 * What is started, cancelled and handed over, by the age of the weights.
 *
 * Load pattern: weights every few minutes, and samples that take minutes. Without a gate engines generate what will be
 * too old when it is done: tokens thrown away, drawn again while the trainer waits. What would be stale
 * at its expected finish is not started, what has become stale is cancelled, and hand-over judges again from the
 * versions that truly made the sample.
 */
import type {Freshness} from '@wasabiusher/shared';

/** What is known of the trainer's versions. */
export type VersionForecast = {
	/** Version that the trainer last stated. */
	current: number;
	/** When it came, on the clock of `now`. */
	since: number;
	/** Usual time between versions in milliseconds; undefined until two have come. */
	intervalMs?: number;
};

/** Work that may be started. */
export type PlannedWork = {
	/** Version that the endpoint reports. */
	engineVersion: number;
	/** When it is expected to be whole. */
	finishAt: number;
	/** Steps of the same trainer that must be taken before this one: 0 for the current, 1 for the next. */
	stepsAhead: number;
};

/** What made a sample. */
export type SampleOrigin = {
	/** Version of its oldest part. */
	oldestVersion: number;
	/** When a newer version than that came, on the clock of `now`; undefined if none has. */
	supersededAt?: number;
};

/** `wait` means that a newer version will come and then the work can be in time. */
export type DispatchDecision = 'start' | 'wait';

/** Version that the trainer will state at a time. */
export function estimateVersion({current, since, intervalMs}: VersionForecast, at: number): number {
	return intervalMs === undefined ? current : current + Math.max(0, Math.floor((at - since) / intervalMs));
}

/** Whether work may be started now. */
export function judgeDispatch(freshness: Freshness, forecast: VersionForecast, draft: PlannedWork, now: number): DispatchDecision {
	if (countVersionLag(forecast, draft) <= freshness.versions) {
		return 'start';
	}

	if (draft.engineVersion < forecast.current || draft.stepsAhead > freshness.versions) {
		return 'wait';
	}

	return canFinishFreshAfterNextVersion(freshness, forecast, draft, now) ? 'wait' : 'start';
}

/** Versions that the work would lie behind its trainer when it is taken. Each step taken makes one version. */
function countVersionLag(forecast: VersionForecast, {engineVersion, finishAt, stepsAhead}: PlannedWork): number {
	const versionByStepOrder = forecast.current + stepsAhead;
	return Math.max(versionByStepOrder, estimateVersion(forecast, finishAt)) - engineVersion;
}

/** On the newest weights, waiting helps only if the work fits between later versions; else it would wait for ever. */
function canFinishFreshAfterNextVersion(freshness: Freshness, forecast: VersionForecast, draft: PlannedWork, now: number): boolean {
	const {intervalMs} = forecast;
	if (intervalMs === undefined) {
		return false;
	}

	const durationMs = draft.finishAt - now;
	return Math.floor(durationMs / intervalMs) <= freshness.versions;
}

/** Whether a sample may not be handed over to a trainer at this version; the last word, from reported versions only. */
export function isStale(freshness: Freshness, {oldestVersion, supersededAt}: SampleOrigin, trainerVersion: number, now: number): boolean {
	const isTooOld = trainerVersion - oldestVersion > freshness.versions;
	const isTooLate = freshness.seconds !== undefined && supersededAt !== undefined && now - supersededAt > freshness.seconds * 1000;
	return isTooOld || isTooLate;
}

/**
 * Whether a running sample is to be cancelled and drawn again: it is stale for the step that it belongs to, so that
 * each further token would be thrown away.
 */
export function shouldCancel(freshness: Freshness, origin: SampleOrigin, {current, stepsAhead}: {current: number; stepsAhead: number}, now: number): boolean {
	return isStale(freshness, origin, current + stepsAhead, now);
}

/** Weight of the newest interval; versions come at a steady pace, so a few are enough. */
const intervalSmoothingWeight = 0.5;

/** Forecast after the trainer has stated a version; the same or a lower one changes nothing. */
export function observeVersion(forecast: VersionForecast | undefined, version: number, now: number): VersionForecast {
	if (!forecast) {
		return {current: version, since: now};
	}

	if (version <= forecast.current) {
		return forecast;
	}

	const measuredMs = (now - forecast.since) / (version - forecast.current);
	const intervalMs = forecast.intervalMs === undefined ? measuredMs : forecast.intervalMs + (intervalSmoothingWeight * (measuredMs - forecast.intervalMs));
	return {current: version, since: now, intervalMs};
}
