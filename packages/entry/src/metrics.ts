/**
 * Metrics of the entry, named by the conventions of Prometheus: seconds, `_total`, few labels.
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {CallRecord, Progress} from '@wasabiusher/systems';

/** Upper bounds in seconds, from a plain call within a data centre to a long rollout. */
const durationBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 180];

/** State that is read at each scrape. */
export type EntryState = {
	openCalls: number;
	draining: number;
	linksUp: number;
	links: number;
	configurationVersion: number;
	isReady: boolean;
};

/** Label values for the phase in which a call failed, by what its caller had received. */
const phases: Readonly<Record<Progress, string>> = {nothing: 'before_headers', head: 'before_content', content: 'after_content'};

/** Counters, histograms and gauges of one entry. */
export class EntryMetrics {
	readonly #calls: Counter<'profile' | 'outcome'>;
	readonly #refusals: Counter<'profile' | 'reason'>;
	readonly #failures: Counter<'profile' | 'phase' | 'ran'>;
	readonly #attempts: Counter<'profile'>;
	readonly #queueSeconds: Histogram<'profile'>;
	readonly #firstContentSeconds: Histogram<'profile'>;
	readonly #durationSeconds: Histogram<'profile' | 'outcome'>;
	readonly #linkLosses: Counter;

	/** @param read - returns the state at the time of a scrape */
	constructor(registry: Registry, read: () => EntryState) {
		const registers = [registry];
		this.#calls = new Counter({
			name: 'wasabiusher_calls_total', help: 'Calls that have ended; answered means whole and before the deadline', labelNames: ['profile', 'outcome'], registers,
		});
		this.#refusals = new Counter({
			name: 'wasabiusher_refusals_total', help: 'Calls told that they have not run, by the kind of problem', labelNames: ['profile', 'reason'], registers,
		});
		this.#failures = new Counter({
			name: 'wasabiusher_failures_total', help: 'Calls that failed when they may have run, by what the caller had received', labelNames: ['profile', 'phase', 'ran'], registers,
		});
		this.#attempts = new Counter({
			name: 'wasabiusher_attempts_total', help: 'Attempts made at endpoints, first ones, retries and hedges', labelNames: ['profile'], registers,
		});
		this.#queueSeconds = new Histogram({
			name: 'wasabiusher_admission_wait_seconds', help: 'Wait of calls for their turn at the entry', labelNames: ['profile'], buckets: durationBuckets, registers,
		});
		this.#firstContentSeconds = new Histogram({
			name: 'wasabiusher_first_content_seconds', help: 'Time from acceptance to the first content', labelNames: ['profile'], buckets: durationBuckets, registers,
		});
		this.#durationSeconds = new Histogram({
			name: 'wasabiusher_call_duration_seconds', help: 'Time from acceptance to the end of the answer or stream', labelNames: ['profile', 'outcome'], buckets: durationBuckets, registers,
		});
		this.#linkLosses = new Counter({name: 'wasabiusher_link_losses_total', help: 'Links to agents that were lost', registers});
		addGauges(registry, read);
	}

	recordCall({call: {profileName: profile}, outcome, problem, progress, queueMs, firstContentMs, durationMs, attempts}: CallRecord): void {
		this.#calls.inc({profile, outcome});
		this.#attempts.inc({profile}, attempts);
		this.#queueSeconds.observe({profile}, queueMs / 1000);
		this.#durationSeconds.observe({profile, outcome}, durationMs / 1000);
		if (firstContentMs !== undefined) {
			this.#firstContentSeconds.observe({profile}, firstContentMs / 1000);
		}

		if (outcome === 'refused') {
			this.#refusals.inc({profile, reason: problem!.kind});
		}

		if (outcome === 'failed') {
			this.#failures.inc({profile, phase: phases[progress], ran: problem!.ran});
		}
	}

	recordLinkLoss(): void {
		this.#linkLosses.inc();
	}
}

/** Name, help text and reader of each gauge. */
const gauges: ReadonlyArray<{name: string; help: string; read(state: EntryState): number}> = [
	{name: 'wasabiusher_open_calls', help: 'Calls that have not ended', read: ({openCalls}) => openCalls},
	{name: 'wasabiusher_draining_attempts', help: 'Cancelled work whose stop is not confirmed yet', read: ({draining}) => draining},
	{name: 'wasabiusher_links_up', help: 'Links to agents that are up', read: ({linksUp}) => linksUp},
	{name: 'wasabiusher_links', help: 'Agents in view', read: ({links}) => links},
	{name: 'wasabiusher_configuration_version', help: 'Version of the configuration in force', read: ({configurationVersion}) => configurationVersion},
	{name: 'wasabiusher_ready', help: 'Whether new work should come here', read: ({isReady}) => Number(isReady)},
];

function addGauges(registry: Registry, read: () => EntryState): void {
	for (const {name, help, read: pick} of gauges) {
		// The registry holds the reference.
		// eslint-disable-next-line no-new
		new Gauge({
			name,
			help,
			registers: [registry],
			collect() {
				this.set(pick(read()));
			},
		});
	}
}
