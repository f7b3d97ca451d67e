/**
 * Writes the crash rows of this process, and repeats a write until the store has accepted it.
 *
 * Load pattern: endpoints crash while the store refuses this host or leaves its writes unanswered. A row that is written once is lost then, and other
 * hosts learn of its crashes only from the next one. A write without an answer may also be applied seconds later, over a newer row.
 */
import {Buffer} from 'node:buffer';
import type {RowChange, RowStore} from '@wasabiusher/backends';
import {describeError, RepeatedFailures, type Log} from '@wasabiusher/shared';

/** Pause after a failed write, in milliseconds: short against the time within which all hosts should know. */
const retryMs = 250;

/** Maximum number of rows in one write; a store transaction holds at most 100. */
const maxWrittenRows = 100;

export type CrashRowWriterSettings = {
	rows: RowStore;
	table: string;
	part: string;
	/** Id of this process, the second part of its row keys. */
	writer: string;
	log: Log;
	/** Returns the present row of a request; undefined if there is nothing to tell. */
	encode(fingerprint: string): Uint8Array | undefined;
};

/** Writes the crash rows of one process. */
export class CrashRowWriter {
	/** Writes that failed. */
	failures = 0;
	readonly #settings: CrashRowWriterSettings;
	readonly #repeatedFailures: RepeatedFailures;
	/** Requests whose rows are to be written. */
	readonly #pending = new Set<string>();
	/** Accepted rows by request, with the version of their write. */
	readonly #accepted = new Map<string, {version: number; value: Uint8Array}>();
	#isWriting = false;
	#retryTimer: NodeJS.Timeout | undefined;

	constructor(settings: CrashRowWriterSettings) {
		this.#settings = settings;
		this.#repeatedFailures = new RepeatedFailures({log: settings.log, event: 'crash_not_told', overEvent: 'crashes_told'});
	}

	/** Writes the rows of these requests as soon as the store accepts them. */
	write(fingerprints: readonly string[]): void {
		for (const fingerprint of fingerprints) {
			this.#pending.add(fingerprint);
		}

		if (this.#retryTimer === undefined) {
			void this.#writePending();
		}
	}

	/** Compares a row of this process in the store with the accepted one, and writes it again if an older write has replaced it. */
	check(fingerprint: string, {version, value}: RowChange): void {
		const accepted = this.#accepted.get(fingerprint);
		if (!accepted || version < accepted.version) {
			return;
		}

		if (value === undefined) {
			this.#accepted.delete(fingerprint);
		} else if (!Buffer.from(value).equals(accepted.value)) {
			this.write([fingerprint]);
		}
	}

	stop(): void {
		clearTimeout(this.#retryTimer);
		this.#pending.clear();
	}

	/** Never rejects. */
	async #writePending(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		let isAccepted = true;
		while (isAccepted && this.#pending.size > 0) {
			// eslint-disable-next-line no-await-in-loop
			isAccepted = await this.#writeSome([...this.#pending].slice(0, maxWrittenRows));
		}

		this.#isWriting = false;
		if (!isAccepted) {
			this.#retryTimer = setTimeout(() => {
				this.#retryTimer = undefined;
				void this.#writePending();
			}, retryMs);
		}
	}

	/** Returns whether the store accepted the rows. */
	async #writeSome(fingerprints: readonly string[]): Promise<boolean> {
		const {rows, table, part, writer, encode} = this.#settings;
		const values = fingerprints.flatMap(fingerprint => {
			const value = encode(fingerprint);
			return value ? [{fingerprint, value}] : [];
		});
		for (const fingerprint of fingerprints) {
			this.#pending.delete(fingerprint);
		}

		try {
			const {version} = await rows.commit({
				conditions: [], deletes: [], puts: values.map(({fingerprint, value}) => ({
					table, part, key: `${fingerprint}/${writer}`, value,
				})),
			});
			for (const {fingerprint, value} of values) {
				this.#accepted.set(fingerprint, {version, value});
			}

			this.#repeatedFailures.recover();
			return true;
		} catch (error) {
			for (const fingerprint of fingerprints) {
				this.#pending.add(fingerprint);
			}

			this.failures += 1;
			this.#repeatedFailures.record({requests: fingerprints.length, reason: describeError(error)});
			return false;
		}
	}
}
