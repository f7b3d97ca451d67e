/**
 * Gathers the rows of a data centre's entries at a few of them, so that the store sees few transactions.
 *
 * With some thousand entries, each of which has a claim now and then, batches of one entry stay small and the store
 * gets a transaction for nearly every row. Each entry therefore sends its rows to a gatherer, chosen by
 * rendezvous rank among the live entries and by the row's key. Correctness does not hang on who commits, since
 * each row is written on a condition: entries that disagree about the gatherers, or that go past one that does not
 * answer, do no harm. Few entries commit by themselves.
 *
 * How to wire it, in an entry: `write` is given to `ClaimLog` as `commits`; `receive` takes the kinds `commit` and
 * `committed` from other entries; `onLinkDown` is called when a link to one is lost; `gatherers` tells which entries
 * to keep a link to.
 */
import type {Message, MessageOf} from '@wasabiusher/link';
import type {StoredRow, TableService} from '@wasabiusher/backends';
import {
	claimTable, GroupCommit, RecordError, type Committer, type GroupResult, type GroupWrite,
} from '@wasabiusher/record';
import {hashToNumber, orderByRank} from '@wasabiusher/shared';

/** Up to so many entries in a data centre each commits by itself. */
const maxDirect = 8;

/** Gatherers of a data centre: one may die without all waiting. */
const gatherersPerDataCentre = 2;

/** Least time between transactions of an entry that commits by itself, in milliseconds; 12 entries then make 300 a second at most. */
const directIntervalMs = 40;

/** The same of a gatherer; 19 data centres × 2 gatherers then make 190 a second at most. */
const gatherIntervalMs = 200;

/** Longest wait for a gatherer, in milliseconds; above its interval and a slow answer of the store. */
const answerTimeoutMs = 2000;

export type CommitGatewaySettings = {
	/** Name of this entry. */
	name: string;
	tables: TableService;
	maxDirect?: number;
	/** Names of the live entries of this data centre. */
	listEntries(): readonly string[];
	/** Sends to an entry by name; false if it has no link at present. */
	send(entry: string, message: Message): boolean;
};

type Pending = {
	gatherer: string;
	timer: NodeJS.Timeout;
	resolve(result: GroupResult): void;
	reject(error: RecordError): void;
};

/** What an answer of a gatherer means. */
const outcomes: Readonly<Record<MessageOf<'committed'>['outcome'], (pending: Pending, row: StoredRow | undefined) => void>> = {
	written({resolve}) {
		resolve({isWritten: true});
	},
	lost({resolve}, row) {
		resolve({isWritten: false, row});
	},
	unavailable({reject}) {
		reject(new RecordError('unavailable', 'the store can not be written by the gatherer'));
	},
	unknown({reject}) {
		reject(new RecordError('unknown', 'the gatherer does not know whether it was written'));
	},
};

/** Commits rows of this entry through a gatherer, and rows of others if it is one. */
export class CommitGateway implements Committer {
	readonly #settings: CommitGatewaySettings;
	readonly #commits: GroupCommit;
	readonly #pending = new Map<string, Pending>();
	#sent = 0;

	constructor(settings: CommitGatewaySettings) {
		this.#settings = settings;
		this.#commits = new GroupCommit(settings.tables, () => this.gatherers.includes(settings.name) ? gatherIntervalMs : directIntervalMs);
	}

	/** Entries that gather at present; none while each commits by itself. */
	get gatherers(): string[] {
		const {name, listEntries, maxDirect: limit = maxDirect} = this.#settings;
		const entries = [...new Set([...listEntries(), name])];
		return entries.length <= limit ? [] : orderByRank('commits', entries).slice(0, gatherersPerDataCentre);
	}

	async write(write: GroupWrite): Promise<GroupResult> {
		const {gatherers} = this;
		const gatherer = gatherers[hashToNumber(write.key) % Math.max(1, gatherers.length)];
		return gatherer === undefined || gatherer === this.#settings.name ? this.#commits.write(write) : this.#writeThrough(gatherer, write);
	}

	/** Takes a message from another entry. */
	receive(from: string, message: MessageOf<'commit' | 'committed'>): void {
		if (message.kind === 'commit') {
			void this.#commitFor(from, message);
			return;
		}

		const pending = this.#take(message.commit);
		if (pending) {
			outcomes[message.outcome](pending, message.row);
		}
	}

	/** A link to an entry was lost: what it was to write may have been written. */
	onLinkDown(entry: string): void {
		for (const [commit, {gatherer}] of this.#pending) {
			if (gatherer === entry) {
				this.#take(commit)?.reject(new RecordError('unknown', 'the link to the gatherer was lost'));
			}
		}
	}

	async #writeThrough(gatherer: string, write: GroupWrite): Promise<GroupResult> {
		this.#sent += 1;
		const commit = `${this.#settings.name}/${this.#sent}`;
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				this.#take(commit)?.reject(new RecordError('unknown', 'the gatherer did not answer'));
			}, answerTimeoutMs);
			this.#pending.set(commit, {
				gatherer, timer, resolve, reject,
			});
			if (!this.#settings.send(gatherer, {kind: 'commit', commit, write})) {
				// Nothing was sent, so this entry commits by itself.
				this.#take(commit);
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

		// Other rows have owners of their own, whom no entry may write for.
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

	#take(commit: string): Pending | undefined {
		const pending = this.#pending.get(commit);
		this.#pending.delete(commit);
		clearTimeout(pending?.timer);
		return pending;
	}
}
