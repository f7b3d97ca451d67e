/**
 * Leases of control shards, stored in the table service.
 *
 * One row per shard names the holder and its fence, and is changed by compare-and-set only. Clocks of different hosts
 * are never compared. The holder counts its term on its own monotonic clock from before it sent the
 * request, less a margin; an observer takes over only after the row was unchanged
 * for a whole term on the observer's monotonic clock. Since the observer can not have read the row before the
 * holder sent it, the holder's term always ends first.
 *
 * Callers must check `holds()` right before each effect and send `fence` with it.
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
import {TakeoverRateLimit} from './takeover-rate-limit.js';

/**
 * Term of a lease, in milliseconds. A renewal is sent after a third of it (2 s) and the store's client times out
 * after 3 s, so one lost renewal does not lose the lease; a crashed holder is replaced within 8 s.
 */
const defaultTermMs = 6000;

/** Fraction of the term by which the holder stops early; covers clocks that run at slightly different rates. */
const marginRatio = 0.1;

/** Renewals per term: two may fail before the lease is lost. */
const roundsPerTerm = 3;

/**
 * Maximum drift between the time of day and the monotonic clock, in milliseconds, before the lease counts as lost until it is renewed.
 * The monotonic clock does not advance while a machine is suspended, and another holder may have taken over meanwhile;
 * a step of the time of day can't be told apart and costs one renewal.
 */
const maxClockOffsetChangeMs = 250;

/** Maximum jitter of the renewal interval, as a fraction; prevents many holders from synchronizing. */
const jitterRatio = 0.1;

export type LeaseSettings = {
	tables: TableService;
	/** Name of the leased shard, such as `rollout/trail`. */
	shard: string;
	/** Name of this process. */
	holder: string;
	/** Address of this process, `ip:port`. */
	address?: string;
	random: Random;
	log: Log;
	termMs?: number;
	/**
	 * Whether no other process with this holder's name can be alive. The lease of an earlier start is then taken at once: that process
	 * has ended, and for receivers of orders the host is the same.
	 */
	isOnlyOnHost?: boolean;
	/** Shared by all leases of a process. */
	takeoverLimit?: TakeoverRateLimit;
	/** Called when the lease was acquired or lost; effects must still check `holds()`. */
	onChange?(isHeld: boolean): void;
};

/** Acquires and renews one lease. */
export class LeaseHolder {
	readonly #settings: LeaseSettings;
	readonly #termMs: number;
	readonly #takeoverLimit: TakeoverRateLimit;
	readonly #failures: RepeatedFailures;
	readonly #incarnation = randomUUID();
	#row: StoredRow | undefined;
	#lease: Lease | undefined;
	/** When the row was first read in its current version, on the monotonic clock. */
	#unchangedSince = 0;
	#jitterMs = 0;
	/** End of the time in which effects are allowed, on the monotonic clock. */
	#heldUntil = Number.NEGATIVE_INFINITY;
	/** Time of day minus monotonic clock at the last write of the lease, in milliseconds. */
	#clockOffsetMs = 0;
	#wasHeld = false;
	#round: Promise<boolean> | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = true;
	/** Whether the outcome of the last write is unknown, so that the row must be read before the next one. */
	#isOutcomeUnknown = false;
	#hasLiveRival = false;

	constructor(settings: LeaseSettings) {
		this.#settings = settings;
		this.#termMs = settings.termMs ?? defaultTermMs;
		this.#takeoverLimit = settings.takeoverLimit ?? new TakeoverRateLimit();
		this.#failures = new RepeatedFailures({log: settings.log, event: 'lease_store_unreachable', overEvent: 'lease_store_reached'});
	}

	/**
	 * Whether effects are allowed now. Check right before each effect, and never cache the result.
	 *
	 * @param effectMs - time that an effect may take to arrive if its receiver does not check the fence, in milliseconds; the lease must last that long
	 */
	holds(effectMs = 0): boolean {
		return performance.now() + effectMs < this.#heldUntil && Math.abs(readClockOffsetMs() - this.#clockOffsetMs) <= maxClockOffsetChangeMs;
	}

	/** Fencing token to send with each effect; 0 while the lease is not held. */
	get fence(): number {
		return this.holds() ? this.#lease!.fence : 0;
	}

	/** Holder at the last read of the row; undefined if nobody held it. */
	get owner(): LeaseOwner | undefined {
		return this.#lease?.holder ? this.#lease : undefined;
	}

	/** Whether another holder has renewed the lease since this one last held it, and is therefore alive. */
	get hasLiveRival(): boolean {
		return this.#hasLiveRival;
	}

	/** Acquires and renews the lease until `stop` or `release`. */
	start(): void {
		if (this.#isStopped) {
			this.#isStopped = false;
			void this.#runLoop();
		}
	}

	/** Stops renewing and lets the lease expire. */
	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Runs one round: renews, takes over or observes. Resolves to whether the lease is held; never rejects. */
	async attempt(): Promise<boolean> {
		this.#round ??= this.#runRound().finally(() => {
			this.#round = undefined;
		});
		return this.#round;
	}

	/** Releases the lease, so that the next holder need not wait for the end of the term. Effects must have ended. */
	async release(): Promise<void> {
		this.stop();
		await this.#round;
		if (!this.holds()) {
			return;
		}

		// No effect is allowed from here on, whatever the outcome of the write.
		this.#heldUntil = Number.NEGATIVE_INFINITY;
		try {
			await this.#write({holder: '', fence: this.#lease!.fence});
		} catch (error) {
			this.#settings.log.warn('lease_not_released', {shard: this.#settings.shard, reason: describeError(error)});
		}

		this.#reportChange();
	}

	async #runLoop(): Promise<void> {
		await this.attempt();
		if (this.#isStopped) {
			return;
		}

		this.#timer = setTimeout(() => {
			void this.#runLoop();
		}, this.#getRoundDelayMs());
		this.#timer.unref();
	}

	/** Returns the time until the next round, in milliseconds. */
	#getRoundDelayMs(): number {
		const jitterFactor = 1 + (jitterRatio * ((2 * this.#settings.random.next()) - 1));
		const regularMs = this.#termMs / roundsPerTerm * jitterFactor;
		const takeoverMs = this.#getMsToTakeover();
		// An expired lease that could not be taken is tried again at the regular interval, to limit the load of the store.
		return this.holds() || takeoverMs <= 0 ? regularMs : Math.min(regularMs, Math.ceil(takeoverMs));
	}

	async #runRound(): Promise<boolean> {
		try {
			// The row is known while this process holds the lease; otherwise it is read first.
			if (this.#isOutcomeUnknown || !this.holds()) {
				await this.#observe();
			}

			if (this.holds() || this.#canTake()) {
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

		const previous = this.#lease;
		if (row?.version !== this.#row?.version || !this.#row) {
			this.#unchangedSince = performance.now();
			this.#jitterMs = random.next() * this.#termMs / roundsPerTerm;
		}

		this.#row = row;
		this.#lease = row && decodeLease(row, this.#termMs);
		this.#isOutcomeUnknown = false;
		this.#hasLiveRival ||= this.#isRenewalOf(previous);
		if (this.#lease?.incarnation !== this.#incarnation) {
			this.#heldUntil = Number.NEGATIVE_INFINITY;
		}
	}

	#isRenewalOf(previous: Lease | undefined): boolean {
		const current = this.#lease;
		const isHeldByOther = current !== undefined && current.holder !== '' && current.incarnation !== this.#incarnation;
		return isHeldByOther && previous?.incarnation === current.incarnation && previous.attempt !== current.attempt;
	}

	#canTake(): boolean {
		if (this.#lease?.incarnation === this.#incarnation) {
			return true;
		}

		return this.#getMsToTakeover() <= 0 && this.#takeoverLimit.tryTake();
	}

	/** Returns the time until this process may take over the lease, in milliseconds; 0 or less if it may now. */
	#getMsToTakeover(): number {
		const {holder, isOnlyOnHost} = this.#settings;
		if (!this.#lease?.holder || (isOnlyOnHost && this.#lease.holder === holder)) {
			return 0;
		}

		return this.#unchangedSince + this.#lease.termMs + this.#jitterMs - performance.now();
	}

	async #take(): Promise<void> {
		const {shard, holder, log} = this.#settings;
		const isOwn = this.#lease?.incarnation === this.#incarnation;
		const fence = (this.#lease?.fence ?? 0) + (isOwn ? 0 : 1);
		const sentAt = performance.now();
		const clockOffsetMs = readClockOffsetMs();
		const isWritten = await this.#write({holder, fence});
		if (!isWritten) {
			await this.#observe();
			return;
		}

		this.#heldUntil = sentAt + (this.#termMs * (1 - marginRatio));
		this.#clockOffsetMs = clockOffsetMs;
		this.#hasLiveRival = false;
		if (!isOwn) {
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
		this.#isOutcomeUnknown = true;
		const version = await writeSettled(tables, {
			writes: [{
				table: leaseTable, key: shard, expect, value: lease,
			}],
			attempt,
		});
		this.#isOutcomeUnknown = version === undefined;
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

function readClockOffsetMs(): number {
	return Date.now() - performance.now();
}
