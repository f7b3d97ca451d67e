/**
 * Claims of non-idempotent calls with an idempotency key, so that a retried call runs once.
 *
 * A claim is a row that must not exist yet. It is group-committed before the call is dispatched and completed
 * with the outcome afterwards. A process that finds the claim of another one does not run the call.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import type {ObjectStore, StoredRow, TableService} from '@wasabiusher/backends';
import {z} from 'zod';
import {RecordError} from './errors.js';
import {GroupCommit, type Committer} from './group-commit.js';

/** Table of claims. */
export const claimTable = 'claims';

const table = claimTable;

/** Bodies up to this size stay in the row; larger ones go to the object store, in bytes. */
const maxRowBodyBytes = 4096;

/** Retention of a claim, in milliseconds: a day, longer than any deadline and than the time until a user retries by hand. */
const claimRetentionMs = 86_400_000;

/** Assumed maximum difference between the wall clocks of two hosts, in milliseconds. */
const clockToleranceMs = 60_000;

const outcomeSchema = z.object({
	status: z.int(),
	headers: z.record(z.string(), z.string()),
	/** In base64; undefined if it is in the object store. */
	body: z.string().optional(),
	bodyObject: z.string().optional(),
});

const claimSchema = z.object({
	/** Hash of the call's content: a key that is reused for another call is refused. */
	fingerprint: z.string(),
	/** Process that runs the call, with an id of its start. */
	owner: z.string(),
	/** Wall clock of the owner, in milliseconds. */
	claimedAt: z.number(),
	/** Maximum duration of the call, in milliseconds. */
	runMs: z.number(),
	/** `done` without an outcome: the call ran, but the answer was too large to be stored. */
	state: z.enum(['claimed', 'done', 'doubtful', 'released']),
	outcome: outcomeSchema.optional(),
	attempt: z.string(),
});

type StoredOutcome = z.infer<typeof outcomeSchema>;

/** A claim as it is stored. */
export type Claim = z.infer<typeof claimSchema>;

/** A complete answer. */
export type RecordedAnswer = {status: number; headers: Record<string, string>; body: Uint8Array};

/** Result of a request to run a call under a key. */
export type ClaimResult
	/** No other process has run the call or will: it may run now. */
	= | {kind: 'granted'}
	/** Another call has claimed the key. */
		| {kind: 'taken'; claim: Claim}
	/** No claim was written by this attempt, and none will be. */
		| {kind: 'unavailable'}
	/** The claim may have been written. */
		| {kind: 'unknown'};

export type ClaimLogSettings = {
	tables: TableService;
	objects: ObjectStore;
	/** Name of this process; an id of its start is appended. */
	name: string;
	/** Writes the rows; a group commit of this process by default. */
	commits?: Committer;
};

type HeldClaim = {claim: Claim; version: number};

/** Writes and reads claims. A process must not claim the same key concurrently. */
export class ClaimLog {
	readonly #tables: TableService;
	readonly #objects: ObjectStore;
	readonly #commits: Committer;
	readonly #owner: string;
	readonly #held = new Map<string, HeldClaim>();

	constructor({tables, objects, name, commits}: ClaimLogSettings) {
		this.#tables = tables;
		this.#objects = objects;
		this.#commits = commits ?? new GroupCommit(tables);
		this.#owner = `${name}/${randomUUID()}`;
	}

	/**
	 * Claims a key for a call. Never rejects.
	 *
	 * @param fingerprint - hash of the call's content
	 * @param runMs - maximum duration of the call, in milliseconds
	 */
	async claim(key: string, fingerprint: string, runMs: number): Promise<ClaimResult> {
		return this.#claim(key, {
			fingerprint, owner: this.#owner, claimedAt: Date.now(), runMs, state: 'claimed', attempt: randomUUID(),
		}, 0);
	}

	/** Reads the claim of a key; undefined if there is none. Throws `RecordError`. */
	async read(key: string): Promise<Claim | undefined> {
		const row = await this.#readRow(key);
		return row && parseClaim(row);
	}

	/** Records the answer of a call that this process was granted; undefined if it is too large. Throws `RecordError`. */
	async complete(key: string, answer: RecordedAnswer | undefined): Promise<void> {
		await this.#update(key, {state: 'done', outcome: answer && await this.#storeOutcome(key, answer)});
	}

	/** Records that the call may have run and that its answer is unknown. Throws `RecordError`. */
	async markDoubtful(key: string): Promise<void> {
		await this.#update(key, {state: 'doubtful'});
	}

	/** Records that the call has provably not run, so that it may be retried. Throws `RecordError`. */
	async release(key: string): Promise<void> {
		await this.#update(key, {state: 'released'});
	}

	/** Reads the answer of a completed claim; undefined if it was too large to be stored. Throws `RecordError`. */
	async readAnswer({outcome}: Claim): Promise<RecordedAnswer | undefined> {
		if (!outcome) {
			return undefined;
		}

		const {status, headers, body = '', bodyObject} = outcome;
		return {status, headers, body: bodyObject === undefined ? Buffer.from(body, 'base64') : await this.#getObject(bodyObject)};
	}

	async #claim(key: string, claim: Claim, expect: number): Promise<ClaimResult> {
		try {
			const result = await this.#commits.write({
				table, key, expect, value: claim,
			});
			if (result.isWritten) {
				this.#held.set(key, {claim, version: expect + 1});
				return {kind: 'granted'};
			}

			return await this.#resolveConflict(key, claim, result.row);
		} catch (error) {
			return {kind: error instanceof RecordError && error.code === 'unavailable' ? 'unavailable' : 'unknown'};
		}
	}

	async #resolveConflict(key: string, claim: Claim, row: StoredRow | undefined): Promise<ClaimResult> {
		const other = row && parseClaim(row);
		if (!row || !other || isVacant(other)) {
			return this.#claim(key, claim, row?.version ?? 0);
		}

		// An earlier attempt of this process, whose answer was lost, has succeeded.
		if (other.owner === this.#owner && other.state === 'claimed' && !this.#held.has(key)) {
			this.#held.set(key, {claim: other, version: row.version});
			return {kind: 'granted'};
		}

		return {kind: 'taken', claim: other};
	}

	async #update(key: string, change: Partial<Claim>): Promise<void> {
		const held = this.#held.get(key);
		if (!held) {
			throw new RecordError('conflict', 'the claim is not held by this process');
		}

		const claim = {...held.claim, ...change, attempt: randomUUID()};
		const result = await this.#commits.write({
			table, key, expect: held.version, value: claim,
		});
		// A row that was changed by an earlier attempt of this update, or that has expired, is final too.
		this.#held.delete(key);
		if (!result.isWritten && result.row && parseClaim(result.row).state !== claim.state) {
			throw new RecordError('conflict', 'the claim was changed by another process');
		}
	}

	async #readRow(key: string): Promise<StoredRow | undefined> {
		try {
			return await this.#tables.read(table, key);
		} catch (error) {
			throw new RecordError('unavailable', 'the claim can not be read', error);
		}
	}

	async #storeOutcome(key: string, {status, headers, body}: RecordedAnswer): Promise<StoredOutcome> {
		if (body.length <= maxRowBodyBytes) {
			return {status, headers, body: Buffer.from(body).toString('base64')};
		}

		const bodyObject = `claims/${key}`;
		try {
			// The same content under the same key, so a put whose answer was lost may be repeated.
			await this.#objects.put(bodyObject, body);
			return {status, headers, bodyObject};
		} catch (error) {
			throw new RecordError('unavailable', 'the answer can not be stored', error);
		}
	}

	async #getObject(key: string): Promise<Uint8Array> {
		let content: Uint8Array | undefined;
		try {
			content = await this.#objects.get(key);
		} catch (error) {
			throw new RecordError('unavailable', 'the recorded answer can not be read', error);
		}

		if (!content) {
			throw new RecordError('unknown', 'the recorded answer does not exist any more');
		}

		return content;
	}
}

/**
 * Returns the row key for a caller's idempotency key.
 *
 * It doesn't include the caller's name: without a caller header the name is an address, which may change between two attempts.
 */
export function formatClaimKey(service: string, idempotencyKey: string): string {
	return createHash('sha256').update(JSON.stringify([service, idempotencyKey])).digest('hex');
}

/** Whether the call of a claim must have ended by now, so that no process will complete the claim. */
export function isAbandoned({state, claimedAt, runMs}: Claim): boolean {
	return state === 'claimed' && Date.now() - claimedAt > runMs + clockToleranceMs;
}

function parseClaim({value}: StoredRow): Claim {
	return claimSchema.parse(value);
}

/** Whether another call may run under the key of the claim. */
function isVacant({state, claimedAt}: Claim): boolean {
	return state === 'released' || Date.now() - claimedAt > claimRetentionMs;
}
