/**
 * Metrics of the agent.
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {EndpointStatus, LinkErrorCode} from '@wasabiusher/link';
import type {ExecutorEvent} from '@wasabiusher/systems';

/** Upper bounds in seconds, from a plain call on loopback to a long rollout. */
const durationBuckets = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 180];

export type AgentState = {status: EndpointStatus; links: number; bufferedBytes: number};

/** Counters, histograms and gauges of one agent. */
export class AgentMetrics {
	readonly #refusals: Counter<'reason'>;
	readonly #waitSeconds: Histogram;
	readonly #runSeconds: Histogram<'outcome'>;
	readonly #orders: Counter<'outcome'>;
	readonly #crashes: Counter;
	readonly #linkErrors: Counter<'code'>;

	/** @param read - returns the state at the time of a scrape */
	constructor(registry: Registry, read: () => AgentState) {
		const registers = [registry];
		this.#refusals = new Counter({
			name: 'wasabiusher_agent_refusals_total', help: 'Requests refused as not run, by reason', labelNames: ['reason'], registers,
		});
		this.#waitSeconds = new Histogram({
			name: 'wasabiusher_agent_wait_seconds', help: 'Time in the queue of requests that were started', buckets: durationBuckets, registers,
		});
		this.#runSeconds = new Histogram({
			name: 'wasabiusher_agent_run_seconds', help: 'Time at the endpoint, by outcome', labelNames: ['outcome'], buckets: durationBuckets, registers,
		});
		this.#orders = new Counter({
			name: 'wasabiusher_agent_orders_total', help: 'Orders to the engine, by outcome; mended are those given again', labelNames: ['outcome'], registers,
		});
		this.#crashes = new Counter({name: 'wasabiusher_agent_endpoint_crashes_total', help: 'Crashes or restarts of the endpoint seen', registers});
		this.#linkErrors = new Counter({
			name: 'wasabiusher_agent_link_errors_total', help: 'Links refused or lost and messages dropped, by code', labelNames: ['code'], registers,
		});
		addGauges(registry, read);
	}

	recordRequest(event: ExecutorEvent): void {
		if (event.kind === 'refused') {
			this.#refusals.inc({reason: event.reason});
		} else if (event.kind === 'started') {
			this.#waitSeconds.observe(event.waitMs / 1000);
		} else {
			this.#runSeconds.observe({outcome: event.outcome}, event.runMs / 1000);
		}
	}

	recordOrder(outcome: string): void {
		this.#orders.inc({outcome});
	}

	recordCrash(): void {
		this.#crashes.inc();
	}

	recordLinkError(code: LinkErrorCode): void {
		this.#linkErrors.inc({code});
	}
}

/** Name, help text and reader of each gauge, which is read at the time of a scrape. */
const gauges: ReadonlyArray<[name: string, help: string, read: (state: AgentState) => number]> = [
	['running', 'Requests at the endpoint, draining ones included', ({status}) => status.running],
	['draining', 'Requests told to stop and not confirmed, and those from before this agent started', ({status}) => status.draining ?? 0],
	['waiting', 'Requests waiting for a slot', ({status}) => status.waiting],
	['waiting_work', 'Work waiting, in estimated tokens or calls', ({status}) => status.waitingWork],
	['limit', 'Requests run at once at the most', ({status}) => status.limit],
	['endpoint_up', 'Whether the endpoint answers', ({status}) => Number(status.isHealthy)],
	['leaving', 'Whether this agent takes no new work', ({status}) => Number(status.isLeaving)],
	['fence', 'Highest fence under which an order was carried out', ({status}) => status.fence],
	['configuration_version', 'Version of the configuration in force', ({status}) => status.configurationVersion],
	['links', 'Links to entries', ({links}) => links],
	['link_buffered_bytes', 'Bytes that wait for slow readers', ({bufferedBytes}) => bufferedBytes],
];

function addGauges(registry: Registry, read: () => AgentState): void {
	for (const [name, help, readValue] of gauges) {
		registry.registerMetric(new Gauge({
			name: `wasabiusher_agent_${name}`,
			help,
			registers: [],
			collect() {
				this.set(readValue(read()));
			},
		}));
	}
}
