/**
 * Commits the rows of a data centre's entries through a few of them, the gatherers, which reduces the number of transactions at the store.
 *
 * With some thousand entries that each write a claim occasionally, the batches of a single entry stay small and the store
 * receives a transaction for nearly every row. Each entry therefore sends its rows to a gatherer, chosen by
 * rendezvous rank among the live entries and by the row's key. Correctness does not depend on which entry commits, since
 * each write is conditional: entries that disagree about the gatherers, or that bypass one that does not
 * answer, cause no inconsistency. In a data centre with few entries, each commits directly.
 *
 * Usage in an entry: pass the gateway to `ClaimLog` as `commits`; pass the messages `commit` and
 * `committed` from other entries to `receive`; call `onLinkDown` when a link to an entry is lost; keep links to the entries
 * in `gatherers`.
 */
import type {Message, MessageOf} from '@wasabiusher/link';
import type {StoredRow, TableService} from '@wasabiusher/backends';
import {
	claimTable, GroupCommit, RecordError, type Committer, type GroupResult, type GroupWrite,
} from '@wasabiusher/record';
import {hashToNumber, orderByRank} from '@wasabiusher/shared';

/** Maximum number of entries in a data centre for which each commits directly. */
const defaultMaxDirectEntries = 8;

/** Number of gatherers per data centre; two, so that a crash of one does not block all rows. */
const gatherersPerDataCentre = 2;

/** Minimum interval between transactions of an entry that commits directly, in milliseconds; 12 entries then make at most 300 per second. */
const directIntervalMs = 40;

/** Minimum interval between transactions of a gatherer, in milliseconds; 19 data centres × 2 gatherers then make at most 190 per second. */
const gatherIntervalMs = 200;

/** Maximum wait for a gatherer's answer, in milliseconds; longer than its interval plus a slow answer of the store. */
const answerTimeoutMs = 2000;

export type CommitGatewaySettings = {
	/** Name of this entry. */
	name: string;
	tables: TableService;
	/** Maximum number of entries in a data centre for which each commits directly; 8 by default. */
	maxDirectEntries?: number;
	/** Names of the live entries of this data centre. */
	listEntries(): readonly string[];
	/** Sends a message to an entry by name; returns false if there is no link to it. */
	send(entry: string, message: Message): boolean;
};

type Pending = {
	gatherer: string;
	timer: NodeJS.Timeout;
	resolve(result: GroupResult): void;
	reject(error: RecordError): void;
};

/** How each outcome that a gatherer reports settles a pending write. */
const outcomes: Readonly<Record<MessageOf<'committed'>['outcome'], (pending: Pending, row: StoredRow | undefined) => void>> = {
	written({resolve}) {
		resolve({isWritten: true});
	},
	lost({resolve}, row) {
		resolve({isWritten: false, row});
	},
	unavailable({reject}) {
		reject(new RecordError('unavailable', 'the gatherer cannot write to the store'));
	},
	unknown({reject}) {
		reject(new RecordError('unknown', 'the gatherer does not know whether the row was written'));
	},
};

/** Commits rows of this entry directly or through a gatherer, and rows of other entries if this one is a gatherer. */
export class CommitGateway implements Committer {
	readonly #settings: CommitGatewaySettings;
	readonly #commits: GroupCommit;
	readonly #pending = new Map<string, Pending>();
	#sent = 0;

	constructor(settings: CommitGatewaySettings) {
		this.#settings = settings;
		this.#commits = new GroupCommit(settings.tables, () => this.gatherers.includes(settings.name) ? gatherIntervalMs : directIntervalMs);
	}

	/** Names of the current gatherers; empty while each entry commits directly. */
	get gatherers(): string[] {
		const {name, listEntries, maxDirectEntries: limit = defaultMaxDirectEntries} = this.#settings;
		const entries = [...new Set([...listEntries(), name])];
		return entries.length <= limit ? [] : orderByRank('commits', entries).slice(0, gatherersPerDataCentre);
	}

	async write(write: GroupWrite): Promise<GroupResult> {
		const {gatherers} = this;
		const gatherer = gatherers[hashToNumber(write.key) % Math.max(1, gatherers.length)];
		return gatherer === undefined || gatherer === this.#settings.name ? this.#commits.write(write) : this.#writeThrough(gatherer, write);
	}

	/** Handles a message from another entry. */
	receive(from: string, message: MessageOf<'commit' | 'committed'>): void {
		if (message.kind === 'commit') {
			void this.#commitFor(from, message);
			return;
		}

		const pending = this.#takePending(message.commit);
		if (pending) {
			outcomes[message.outcome](pending, message.row);
		}
	}

	/** Rejects the writes pending at an entry whose link was lost; they may have been written. */
	onLinkDown(entry: string): void {
		for (const [commit, {gatherer}] of this.#pending) {
			if (gatherer === entry) {
				this.#takePending(commit)?.reject(new RecordError('unknown', 'the link to the gatherer was lost'));
			}
		}
	}

	async #writeThrough(gatherer: string, write: GroupWrite): Promise<GroupResult> {
		this.#sent += 1;
		const commit = `${this.#settings.name}/${this.#sent}`;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this.#takePending(commit)?.reject(new RecordError('unknown', 'the gatherer did not answer'));
			}, answerTimeoutMs);
			this.#pending.set(commit, {
				gatherer, timer, resolve, reject,
			});
			if (!this.#settings.send(gatherer, {kind: 'commit', commit, write})) {
				// Nothing was sent, so this entry commits directly.
				this.#takePending(commit);
				this.#commits.write(write).then(resolve, reject);
			}
		});
	}

	async #commitFor(from: string, {commit, write}: MessageOf<'commit'>): Promise<void> {
		const answer = (outcome: MessageOf<'committed'>['outcome'], row?: StoredRow) => {
			this.#settings.send(from, {
				kind: 'committed', commit, outcome, row,
			});
		};

		// Only claims are written for other entries; rows of other tables have owners that must write them.
		if (write.table !== claimTable) {
			answer('unavailable');
			return;
		}

		try {
			const result = await this.#commits.write(write);
			answer(result.isWritten ? 'written' : 'lost', result.isWritten ? undefined : result.row);
		} catch (error) {
			answer(error instanceof RecordError && error.code === 'unavailable' ? 'unavailable' : 'unknown');
		}
	}

	#takePending(commit: string): Pending | undefined {
		const pending = this.#pending.get(commit);
		this.#pending.delete(commit);
		clearTimeout(pending?.timer);
		return pending;
	}
}
