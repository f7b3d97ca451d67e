/**
 * What processes tell one another of requests that crash endpoints, over the links that exist anyway.
 *
 * Without it a poison request sent again through another entry takes down two more endpoints.
 * Agents see the crashes; entries pass on what is new to them, so that each process hears
 * of a crash within the number of entries and agents between, and no message goes round for ever.
 */
import type {
	Crash, PoisonGuard, Suspicion, Verdict,
} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';

/** Suspicions told when a link comes up; the newest, some 100 bytes each. */
const maxTold = 256;

/** Crashes at which a request is quarantined, as the guard has it. */
const crashesToQuarantine = 2;

/** A request that is not run until its term is over, for operators. */
export type QuarantineStatus = {fingerprint: string; crashes: string[]; remainingMs: number};

export type SuspicionExchangeSettings = {
	guard: PoisonGuard;
	/** Sends to all peers but one. */
	broadcast(message: Message, except?: string): void;
};

/** Keeps the guard of this process and those of its peers together. */
export class SuspicionExchange {
	readonly #settings: SuspicionExchangeSettings;
	/** What was passed on last of each fingerprint, less the time left. */
	readonly #told = new Map<string, string>();

	constructor(settings: SuspicionExchangeSettings) {
		this.#settings = settings;
	}

	judge(fingerprint: string): Verdict {
		return this.#settings.guard.judge(fingerprint, performance.now());
	}

	/** Takes what a peer tells, and passes on what is new. */
	receive(from: string, {suspicions}: MessageOf<'suspicions'>): void {
		const {guard, broadcast} = this.#settings;
		guard.merge(suspicions, performance.now());
		const changed = this.#listChanged(new Set(suspicions.map(({fingerprint}) => fingerprint)));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed}, from);
		}
	}

	/** A crash was seen here: suspects what was in flight, and passes that on. */
	recordCrash(crash: Crash): void {
		const {guard, broadcast} = this.#settings;
		guard.recordCrash(crash, performance.now());
		const changed = this.#listChanged(new Set(crash.fingerprints));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed});
		}
	}

	/** A request was finished, which clears its content. */
	recordFinished(fingerprint: string): void {
		// Most were never suspected, and this is called for each.
		if (!this.#told.has(fingerprint)) {
			return;
		}

		const {guard, broadcast} = this.#settings;
		guard.recordFinished(fingerprint);
		const changed = this.#listChanged(new Set([fingerprint]));
		if (changed.length > 0) {
			broadcast({kind: 'suspicions', suspicions: changed});
		}
	}

	/** What a new peer is told; undefined if there is nothing. */
	createGreeting(): MessageOf<'suspicions'> | undefined {
		const suspicions = this.#list().filter(({remainingMs}) => remainingMs > 0).slice(-maxTold);
		return suspicions.length === 0 ? undefined : {kind: 'suspicions', suspicions};
	}

	/** What is quarantined at present. */
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

	/** Those of the fingerprints whose crashes differ from what was passed on last. */
	#listChanged(fingerprints: ReadonlySet<string>) {
		const changed = this.#list().filter(suspicion => fingerprints.has(suspicion.fingerprint) && this.#told.get(suspicion.fingerprint) !== sign(suspicion));
		for (const suspicion of changed) {
			this.#told.set(suspicion.fingerprint, sign(suspicion));
		}

		return changed;
	}
}

function sign({crashes, cleared, terms}: Suspicion): string {
	return JSON.stringify([crashes.toSorted(), cleared.toSorted(), terms]);
}
