/**
 * Decides what is started, cancelled and handed over, by the age of the weights.
 *
 * Load pattern: new weights every few minutes, and samples that take minutes. Without a check, engines generate samples that are too old when they
 * finish: the tokens are discarded and generated again while the trainer waits. Work that would be stale at its expected finish is not started, work
 * that has become stale is cancelled, and the handover checks again with the versions that actually made the sample.
 */
import type {Freshness} from '@wasabiusher/shared';

/** Known and expected weight versions of a trainer. */
export type VersionForecast = {
	/** Version that the trainer last announced. */
	current: number;
	/** Time of that announcement, on the clock of `now`. */
	since: number;
	/** Usual time between versions, in milliseconds; undefined until two have been announced. */
	intervalMs?: number;
};

/** Work that could be started now. */
export type PlannedWork = {
	/** Version that the endpoint reports. */
	engineVersion: number;
	/** Expected time of completion, on the clock of `now`. */
	finishAt: number;
	/** Number of steps that the trainer takes before this one: 0 for the current step, 1 for the next. */
	stepsAhead: number;
};

/** Weight versions that made a sample. */
export type SampleOrigin = {
	/** Version of its oldest part. */
	oldestVersion: number;
	/** Time of the first newer version, on the clock of `now`; undefined if there is none. */
	supersededAt?: number;
};

/** `wait` means that the work can be in time once a newer version is available. */
export type DispatchDecision = 'start' | 'wait';

/** Returns the version that the trainer is expected to have at a time. */
export function estimateVersion({current, since, intervalMs}: VersionForecast, at: number): number {
	return intervalMs === undefined ? current : current + Math.max(0, Math.floor((at - since) / intervalMs));
}

/** Returns whether work may be started now. */
export function decideDispatch(freshness: Freshness, forecast: VersionForecast, draft: PlannedWork, now: number): DispatchDecision {
	if (countVersionLag(forecast, draft) <= freshness.versions) {
		return 'start';
	}

	if (draft.engineVersion < forecast.current || draft.stepsAhead > freshness.versions) {
		return 'wait';
	}

	return canFinishFreshAfterNextVersion(freshness, forecast, draft, now) ? 'wait' : 'start';
}

/** Returns the number of versions by which the work lags behind its trainer when it is handed over. Each step makes one version. */
function countVersionLag(forecast: VersionForecast, {engineVersion, finishAt, stepsAhead}: PlannedWork): number {
	const versionByStepOrder = forecast.current + stepsAhead;
	return Math.max(versionByStepOrder, estimateVersion(forecast, finishAt)) - engineVersion;
}

/**
 * Returns whether work begun after the next version would be fresh enough. On the newest weights, waiting helps only if the work fits between later
 * versions; otherwise it would wait forever.
 */
function canFinishFreshAfterNextVersion(freshness: Freshness, forecast: VersionForecast, draft: PlannedWork, now: number): boolean {
	const {intervalMs} = forecast;
	if (intervalMs === undefined) {
		return false;
	}

	const durationMs = draft.finishAt - now;
	return Math.floor(durationMs / intervalMs) <= freshness.versions;
}

/** Returns whether a sample is too old to be handed over to a trainer at this version. This is the final check, based on reported versions only. */
export function isStale(freshness: Freshness, {oldestVersion, supersededAt}: SampleOrigin, trainerVersion: number, now: number): boolean {
	const isTooOld = trainerVersion - oldestVersion > freshness.versions;
	const isTooLate = freshness.seconds !== undefined && supersededAt !== undefined && now - supersededAt > freshness.seconds * 1000;
	return isTooOld || isTooLate;
}

/** Returns whether a running sample should be cancelled and drawn again: it is stale for its step, so all further tokens would be discarded. */
export function shouldCancel(freshness: Freshness, origin: SampleOrigin, {current, stepsAhead}: {current: number; stepsAhead: number}, now: number): boolean {
	return isStale(freshness, origin, current + stepsAhead, now);
}

/** Weight of the newest interval; versions are published at a steady pace, so a few are enough. */
const intervalSmoothingWeight = 0.5;

/** Returns the forecast after the trainer has announced a version; the same or a lower version changes nothing. */
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
