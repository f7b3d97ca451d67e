/**
 * Leases of control shards, through the table service.
 *
 * One row a shard names the holder and its fence, and is changed by compare-and-set only. Nobody compares
 * clocks between hosts. The holder counts its term on its own monotonic clock from before it sent the
 * request, less a margin; an observer takes over only after it has seen the row unchanged
 * for a whole term on its own monotonic clock. Since the observer can not have seen the row before the
 * holder sent it, the holder's bound has always passed first.
 *
 * What the caller must do: check `holds()` right before each effect, and send `fence` with it.
 */
import {randomUUID} from 'node:crypto';
import type {StoredRow, TableService} from '@wasabiusher/backends';
import {
	describeError, RepeatedFailures, type Log, type Random,
} from '@wasabiusher/shared';
import {RecordError} from './errors.js';
import {
	decodeLease, leaseTable, type Lease, type LeaseOwner,
} from './lease.js';
import {writeSettled} from './settled-write.js';
import {TakeOverPace} from './take-over-pace.js';

/**
 * Term of a lease, in milliseconds. A renewal goes out after a third (2 s) and the store's client gives up
 * on an answer after 3 s, so one lost renewal does not cost the lease; a dead holder is replaced within 8 s.
 */
const defaultTermMs = 6000;

/** Part of the term by which the holder stops early; covers clocks that run at slightly different rates. */
const marginRatio = 0.1;

/** Rounds a term: two may fail before the lease is lost. */
const roundsPerTerm = 3;

/**
 * Difference by which the time of day may move against the monotonic clock before the lease counts as lost until it is renewed, in
 * milliseconds. The monotonic clock does not count the time for which a machine was suspended, in which another holder may have
 * come; a step of the time of day looks the same and costs one renewal.
 */
const maxClockGapMs = 250;

/** Greatest deviation of a round from its time, as a fraction; keeps many holders from falling into step. */
const jitterRatio = 0.1;

export type LeaseSettings = {
	tables: TableService;
	/** What is leased, such as `rollout/trail`. */
	shard: string;
	/** Name of this process. */
	holder: string;
	/** Where others reach this process, `ip:port`. */
	address?: string;
	random: Random;
	log: Log;
	termMs?: number;
	/**
	 * Whether no other process with this holder's name can be alive. Then the lease of an earlier start is taken at once: its
	 * holder has ended, and to those who obey the orders the host is the same.
	 */
	isOnlyOnHost?: boolean;
	/** Shared by all leases of a process. */
	pace?: TakeOverPace;
	/** Called when the lease was won or lost; `holds()` is still what effects go by. */
	onChange?(isHeld: boolean): void;
};

/** Holds one lease, or waits for it. */
export class LeaseHolder {
	readonly #settings: LeaseSettings;
	readonly #termMs: number;
	readonly #pace: TakeOverPace;
	readonly #failures: RepeatedFailures;
	readonly #incarnation = randomUUID();
	#row: StoredRow | undefined;
	#lease: Lease | undefined;
	/** When the row was first seen as it is, on the monotonic clock. */
	#seenAt = 0;
	#jitterMs = 0;
	/** Until when effects are allowed, on the monotonic clock. */
	#heldUntil = Number.NEGATIVE_INFINITY;
	/** The time of day less the monotonic clock when the lease was last written. */
	#clockGap = 0;
	#wasHeld = false;
	#round: Promise<boolean> | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = true;
	/** The last write's fate is not known, so the row must be read before the next one. */
	#isDoubtful = false;
	#hasLiveRival = false;

	constructor(settings: LeaseSettings) {
		this.#settings = settings;
		this.#termMs = settings.termMs ?? defaultTermMs;
		this.#pace = settings.pace ?? new TakeOverPace();
		this.#failures = new RepeatedFailures({log: settings.log, event: 'lease_store_unreachable', overEvent: 'lease_store_reached'});
	}

	/**
	 * Whether effects are allowed now. Ask right before each one, and never remember the answer.
	 *
	 * @param roomMs - time that the effect may take to arrive where nothing checks its fence, in milliseconds; it is allowed only if the lease lasts so long
	 */
	holds(roomMs = 0): boolean {
		return performance.now() + roomMs < this.#heldUntil && Math.abs(readClockGap() - this.#clockGap) <= maxClockGapMs;
	}

	/** The number that goes with each effect; 0 while the lease is not held. */
	get fence(): number {
		return this.holds() ? this.#lease!.fence : 0;
	}

	/** Who held it when the row was last read; undefined if nobody did. */
	get owner(): LeaseOwner | undefined {
		return this.#lease?.holder ? this.#lease : undefined;
	}

	/** Whether another holder was seen to renew since this one last held the lease: it is alive. */
	get hasLiveRival(): boolean {
		return this.#hasLiveRival;
	}

	/** Keeps trying for the lease, and renews it, until `stop` or `release`. */
	start(): void {
		if (this.#isStopped) {
			this.#isStopped = false;
			void this.#keepTrying();
		}
	}

	/** Stops renewing and lets the lease lapse. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** One round: renews, takes over or observes. Resolves to whether the lease is held; never rejects. */
	async attempt(): Promise<boolean> {
		this.#round ??= this.#runRound().finally(() => {
			this.#round = undefined;
		});
		return this.#round;
	}

	/** Gives the lease up, so that the next holder need not wait for the term. Effects must have ended. */
	async release(): Promise<void> {
		this.stop();
		await this.#round;
		if (!this.holds()) {
			return;
		}

		// From here on no effect is allowed, whatever becomes of the write.
		this.#heldUntil = Number.NEGATIVE_INFINITY;
		try {
			await this.#write({holder: '', fence: this.#lease!.fence});
		} catch (error) {
			this.#settings.log.warn('lease_not_released', {shard: this.#settings.shard, reason: describeError(error)});
		}

		this.#reportChange();
	}

	async #keepTrying(): Promise<void> {
		await this.attempt();
		if (this.#isStopped) {
			return;
		}

		this.#timer = setTimeout(() => {
			void this.#keepTrying();
		}, this.#planRound());
		this.#timer.unref();
	}

	/** Milliseconds until the next round. */
	#planRound(): number {
		const deviation = 1 + (jitterRatio * ((2 * this.#settings.random.next()) - 1));
		const regularMs = this.#termMs / roundsPerTerm * deviation;
		const lapseMs = this.#countMsToTakeOver();
		// A lease that has lapsed but could not be taken is asked for at the regular pace: the store is busy enough then.
		return this.holds() || lapseMs <= 0 ? regularMs : Math.min(regularMs, Math.ceil(lapseMs));
	}

	async #runRound(): Promise<boolean> {
		try {
			// The row is known as long as it is ours; otherwise it is read first.
			if (this.#isDoubtful || !this.holds()) {
				await this.#observe();
			}

			if (this.holds() || this.#mayTake()) {
				await this.#take();
			}

			this.#failures.recover();
		} catch (error) {
			this.#failures.record({shard: this.#settings.shard, reason: describeError(error)});
		}

		this.#reportChange();
		return this.holds();
	}

	async #observe(): Promise<void> {
		const {tables, shard, random} = this.#settings;
		let row: StoredRow | undefined;
		try {
			row = await tables.read(leaseTable, shard);
		} catch (error) {
			throw new RecordError('unavailable', `the lease of ${shard} can not be read`, error);
		}

		const before = this.#lease;
		if (row?.version !== this.#row?.version || !this.#row) {
			this.#seenAt = performance.now();
			this.#jitterMs = random.next() * this.#termMs / roundsPerTerm;
		}

		this.#row = row;
		this.#lease = row && decodeLease(row, this.#termMs);
		this.#isDoubtful = false;
		this.#hasLiveRival ||= this.#isRenewalOf(before);
		if (this.#lease?.incarnation !== this.#incarnation) {
			this.#heldUntil = Number.NEGATIVE_INFINITY;
		}
	}

	#isRenewalOf(before: Lease | undefined): boolean {
		const now = this.#lease;
		const isOthers = now !== undefined && now.holder !== '' && now.incarnation !== this.#incarnation;
		return isOthers && before?.incarnation === now.incarnation && before.attempt !== now.attempt;
	}

	#mayTake(): boolean {
		if (this.#lease?.incarnation === this.#incarnation) {
			return true;
		}

		return this.#countMsToTakeOver() <= 0 && this.#pace.tryTake();
	}

	/** Milliseconds until the lease counts as lapsed here; 0 or less if it can be taken. */
	#countMsToTakeOver(): number {
		const {holder, isOnlyOnHost} = this.#settings;
		if (!this.#lease?.holder || (isOnlyOnHost && this.#lease.holder === holder)) {
			return 0;
		}

		return this.#seenAt + this.#lease.termMs + this.#jitterMs - performance.now();
	}

	async #take(): Promise<void> {
		const {shard, holder, log} = this.#settings;
		const isOurs = this.#lease?.incarnation === this.#incarnation;
		const fence = (this.#lease?.fence ?? 0) + (isOurs ? 0 : 1);
		const sentAt = performance.now();
		const clockGap = readClockGap();
		const isWritten = await this.#write({holder, fence});
		if (!isWritten) {
			await this.#observe();
			return;
		}

		this.#heldUntil = sentAt + (this.#termMs * (1 - marginRatio));
		this.#clockGap = clockGap;
		this.#hasLiveRival = false;
		if (!isOurs) {
			log.info('lease_taken', {shard, fence});
		}
	}

	async #write({holder, fence}: {holder: string; fence: number}): Promise<boolean> {
		const {tables, shard, address = ''} = this.#settings;
		const expect = this.#row?.version ?? 0;
		const attempt = randomUUID();
		const lease: Lease = {
			holder, incarnation: holder === '' ? '' : this.#incarnation, address, fence, termMs: this.#termMs, expiresAt: Date.now() + this.#termMs, attempt,
		};
		this.#isDoubtful = true;
		const version = await writeSettled(tables, {
			writes: [{
				table: leaseTable, key: shard, expect, value: lease,
			}],
			attempt,
		});
		this.#isDoubtful = version === undefined;
		if (version !== undefined) {
			this.#row = {key: shard, value: lease, version};
			this.#lease = lease;
		}

		return version !== undefined;
	}

	#reportChange(): void {
		const {shard, log, onChange} = this.#settings;
		const isHeld = this.holds();
		if (isHeld === this.#wasHeld) {
			return;
		}

		this.#wasHeld = isHeld;
		if (!isHeld) {
			log.warn('lease_lost', {shard});
		}

		onChange?.(isHeld);
	}
}

function readClockGap(): number {
	return Date.now() - performance.now();
}
