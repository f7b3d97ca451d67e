/**
 * Exchanges suspicions about requests that crash endpoints between processes, over the existing links.
 *
 * Without the exchange, a poison request that is sent again through another entry crashes two more endpoints.
 * Agents detect the crashes, and each process forwards only what is new to it. A suspicion so reaches every
 * process after as many hops as there are entries and agents in between, and no message circulates endlessly.
 */
import type {
	Crash, PoisonGuard, Suspicion, Verdict,
} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';

/** Maximum number of suspicions sent when a link comes up: the newest ones, about 100 bytes each. */
const maxSnapshotSuspicions = 256;

/** Number of crashes at which a request is quarantined; equal to that of `PoisonGuard`. */
const crashesToQuarantine = 2;

/** A request that is not run until its quarantine ends, for operators. */
export type QuarantineStatus = {fingerprint: string; crashes: string[]; remainingMs: number};

export type SuspicionExchangeSettings = {
	guard: PoisonGuard;
	/** Sends a message to all peers except the given one. */
	broadcast(message: Message, except?: string): void;
};

/** Keeps the poison guard of this process in sync with those of its peers. */
export class SuspicionExchange {
	readonly #settings: SuspicionExchangeSettings;
	/** Signature of the last announced suspicion of each fingerprint; it omits the remaining time. */
	readonly #announced = new Map<string, string>();

	constructor(settings: SuspicionExchangeSettings) {
		this.#settings = settings;
	}

	judge(fingerprint: string): Verdict {
		return this.#settings.guard.judge(fingerprint, performance.now());
	}

	/** Merges the suspicions of a peer, and forwards the changed ones to the other peers. */
	receive(from: string, {suspicions}: MessageOf<'suspicions'>): void {
		const {guard, broadcast} = this.#settings;
		guard.merge(suspicions, performance.now());
		const changed = this.#listChanged(new Set(suspicions.map(({fingerprint}) => fingerprint)));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed}, from);
		}
	}

	/** Records a crash detected by this process, and announces the requests in flight as suspects. */
	recordCrash(crash: Crash): void {
		const {guard, broadcast} = this.#settings;
		guard.recordCrash(crash, performance.now());
		const changed = this.#listChanged(new Set(crash.fingerprints));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed});
		}
	}

	/** Records that a request has finished, which clears its fingerprint of suspicion. */
	recordFinished(fingerprint: string): void {
		// Called for every request, and most were never suspected.
		if (!this.#announced.has(fingerprint)) {
			return;
		}

		const {guard, broadcast} = this.#settings;
		guard.recordFinished(fingerprint);
		const changed = this.#listChanged(new Set([fingerprint]));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed});
		}
	}

	/** Returns the message with the current suspicions for a new peer; undefined if there are none. */
	createSnapshot(): MessageOf<'suspicions'> | undefined {
		const suspicions = this.#list().filter(({remainingMs}) => remainingMs > 0).slice(-maxSnapshotSuspicions);
		return suspicions.length === 0 ? undefined : {kind: 'suspicions', suspicions};
	}

	/** Returns the requests that are quarantined at present. */
	describe(): QuarantineStatus[] {
		return this.#list()
			.map(({fingerprint, crashes, cleared, remainingMs}) => ({
				fingerprint, remainingMs, crashes: crashes.filter(crash => !cleared.includes(crash)),
			}))
			.filter(({crashes, remainingMs}) => crashes.length >= crashesToQuarantine && remainingMs > 0);
	}

	#list(): Array<Suspicion & {crashes: string[]; cleared: string[]}> {
		return this.#settings.guard.list(performance.now()).map(suspicion => ({
			...suspicion, crashes: [...suspicion.crashes], cleared: [...suspicion.cleared],
		}));
	}

	/** Returns the suspicions of these fingerprints that differ from the last announced ones, and marks them as announced. */
	#listChanged(fingerprints: ReadonlySet<string>) {
		const changed = this.#list().filter(suspicion => fingerprints.has(suspicion.fingerprint) && this.#announced.get(suspicion.fingerprint) !== formatSignature(suspicion));
		for (const suspicion of changed) {
			this.#announced.set(suspicion.fingerprint, formatSignature(suspicion));
		}

		return changed;
	}
}

function formatSignature({crashes, cleared, terms}: Suspicion): string {
	return JSON.stringify([crashes.toSorted(), cleared.toSorted(), terms]);
}
