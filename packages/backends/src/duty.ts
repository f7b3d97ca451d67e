/**
 * Interface to the platform calls that only one host makes at a time.
 *
 * The platform may perform a call seconds after it was sent, and after newer calls. It rejects a fence lower than the highest it has received only
 * where it checks fences. So the same report is sent again until it is confirmed, by the host that holds the duty at that time.
 */

/** The holder of the duty; the fence increases with each change of the holder. */
export type DutyRight = {holder: string; fence: number};

/** Number of requests by customer that started to run in a window of platform time. */
export type UsageReport = {
	/** Number of the window, counted from the epoch. */
	window: number;
	counts: ReadonlyMap<string, number>;
};

/**
 * - `accepted`: the platform has received the report
 * - `fenced`: a holder with a higher fence has made a call
 * - `limited`: rejected because of too many concurrent calls; nothing was done
 */
export type DutyOutcome = 'accepted' | 'fenced' | 'limited';

/** Calls to the platform. Each may throw `PlatformError`; the platform may have performed the call then, or may still perform it later. */
export type DutyClient = {
	reportUsage(report: UsageReport, right: DutyRight): Promise<DutyOutcome>;
};
