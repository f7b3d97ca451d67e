/**
 * Interface to the calls to the platform that are the duty of one host at a time.
 *
 * The platform may perform a call seconds after it was sent and after newer ones; it refuses a fence lower than one it has seen only where it checks
 * fences. So the same report is sent until it is confirmed, by whichever host holds the duty then.
 */

/** Who acts; the fence goes up with each change of the holder. */
export type DutyRight = {holder: string; fence: number};

/** How many requests of each customer began to run in a window of true time. */
export type UsageReport = {
	/** Windows are counted from the start of 1970. */
	window: number;
	counts: ReadonlyMap<string, number>;
};

/**
 * - `accepted`: the platform has it
 * - `fenced`: a holder with a higher fence has acted
 * - `limited`: too many calls at a time; nothing was done
 */
export type DutyOutcome = 'accepted' | 'fenced' | 'limited';

/** Calls to the platform; each may throw `PlatformError`, after which it may have been performed or may be later. */
export type DutyClient = {
	reportUsage(report: UsageReport, right: DutyRight): Promise<DutyOutcome>;
};
