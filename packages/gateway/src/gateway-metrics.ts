/**
 * Prometheus metrics of the gateway. Follows the conventions of Prometheus: seconds as the unit, `_total` for counters, few labels.
 */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {ConnectionState} from '@wasabiusher/daemon';
import type {CallOutcome, StreamOutcome} from '@wasabiusher/direct';
import {storeWays, type GatewayStatus} from '@wasabiusher/shared';

/** Bucket bounds in seconds, from a short call within a data centre to a long stream. */
const durationBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Outcome of a caller's request. */
export type CallOutcomeKind = (CallOutcome | StreamOutcome)['kind'];

/** A gauge whose values are read from the status at each scrape. */
type StatusGauge = {
	name: string;
	help: string;
	labels?: readonly string[];
	read(status: GatewayStatus): ReadonlyArray<{labels?: Record<string, string>; value: number}>;
};

/** Event counts of the components by event name; each only grows. */
export type EventCounts = Readonly<Record<string, number>>;

const statusGauges: readonly StatusGauge[] = [
	{name: 'ready', help: 'Whether new work should come to this host', read: ({isReady}) => [{value: Number(isReady)}]},
	{name: 'configuration_version', help: 'Version of the configuration in force; 0 before the first', read: ({configuration}) => [{value: configuration ?? 0}]},
	{name: 'configuration_age_seconds', help: 'Time since the store last told of the configuration', read: ({configurationAgeMs}) => configurationAgeMs === undefined ? [] : [{value: configurationAgeMs / 1000}]},
	{
		name: 'store_way', help: 'Way to the store that is open: 1 for the present one', labels: ['way'], read: ({storeWay}) => storeWays.map(way => ({labels: {way}, value: Number(way === storeWay)})),
	},
	{name: 'lateness_seconds', help: 'How late the timers of this process are', read: ({lateMs}) => [{value: lateMs / 1000}]},
	{name: 'lease_held', help: 'Whether this host gives orders and reports usage', read: ({isHolder}) => [{value: Number(isHolder)}]},
	{name: 'shares', help: 'Shares of batches that this host works on', read: ({shares}) => [{value: shares}]},
	{
		name: 'texts_waiting', help: 'Texts at this host that have not begun', labels: ['model'], read: ({waiting}) => Object.entries(waiting).map(([model, value]) => ({labels: {model}, value})),
	},
	{
		name: 'published_version', help: 'Newest published version of a model', labels: ['model'], read: ({published}) => Object.entries(published).map(([model, value]) => ({labels: {model}, value})),
	},
	{
		name: 'line_waiting', help: 'Requests, texts and scores that wait for a slot', labels: ['urgency'],
		read: ({turns}) => sumByKey(turns.map(({urgency, waiting}) => [String(urgency), waiting])).map(([urgency, value]) => ({labels: {urgency}, value})),
	},
	{
		name: 'endpoint_slots', help: 'Slots of the endpoints of a service', labels: ['service'], read: ({endpoints}) => sumByService(endpoints.map(({service, slots}) => [service, slots])),
	},
	{
		name: 'endpoint_open', help: 'Requests of this host that are open at endpoints of a service', labels: ['service'], read: ({endpoints}) => sumByService(endpoints.map(({service, open}) => [service, open])),
	},
	{
		name: 'endpoints_avoided', help: 'Endpoints of a service that are left alone at present', labels: ['service'],
		read: ({endpoints}) => sumByService(endpoints.map(({service, isAvailable}) => [service, Number(!isAvailable)])),
	},
];

const prefix = 'wasabiusher_gateway_';

/** What clients hold at present. */
export type ClientUsage = {
	/** Memory that the bodies of requests occupy, and may occupy, in bytes. */
	bodyBytes: number;
	bodyLimitBytes: number;
	/** Connections of callers by state. */
	connections: Readonly<Record<ConnectionState, number>>;
};

/** Counters, histograms and gauges of one gateway. */
export class GatewayMetrics {
	readonly #calls: Counter<'route' | 'outcome'>;
	readonly #seconds: Histogram<'route'>;

	/**
	 * @param readStatus - returns the state at the time of a scrape
	 * @param readCounts - returns the event counts at the time of a scrape
	 * @param readClients - returns what clients hold at the time of a scrape
	 */
	constructor(registry: Registry, readStatus: () => GatewayStatus, readCounts: () => EventCounts, readClients: () => ClientUsage) {
		const registers = [registry];
		this.#calls = new Counter({
			name: `${prefix}calls_total`, help: 'Requests of callers that have ended, by how', labelNames: ['route', 'outcome'], registers,
		});
		this.#seconds = new Histogram({
			name: `${prefix}call_seconds`, help: 'Time until a request of a caller was answered, or its stream begun', labelNames: ['route'], buckets: durationBuckets, registers,
		});
		for (const {name, help, labels = [], read} of statusGauges) {
			const gauge = new Gauge({
				name: `${prefix}${name}`, help, labelNames: [...labels], registers, collect() {
					gauge.reset();
					for (const {labels: found = {}, value} of read(readStatus())) {
						gauge.set(found, value);
					}
				},
			});
		}

		const bodies = new Gauge({
			name: `${prefix}body_bytes`, help: 'Memory of the bodies of requests, held and at most', labelNames: ['kind'], registers, collect() {
				const {bodyBytes, bodyLimitBytes} = readClients();
				bodies.set({kind: 'held'}, bodyBytes);
				bodies.set({kind: 'most'}, bodyLimitBytes);
			},
		});
		const connections = new Gauge({
			name: `${prefix}caller_connections`, help: 'Connections of callers by state', labelNames: ['state'], registers, collect() {
				for (const [state, count] of Object.entries(readClients().connections)) {
					connections.set({state}, count);
				}
			},
		});
		const events = new Gauge({
			name: `${prefix}events`, help: 'What the parts have counted since the start, by name', labelNames: ['event'], registers, collect() {
				for (const [event, value] of Object.entries(readCounts())) {
					events.set({event}, value);
				}
			},
		});
	}

	/** Records a finished request of a caller, with its duration in milliseconds. */
	recordCall(route: string, outcome: CallOutcomeKind, durationMs: number): void {
		this.#calls.inc({route, outcome});
		this.#seconds.observe({route}, durationMs / 1000);
	}
}

function sumByKey(items: ReadonlyArray<readonly [string, number]>): Array<[string, number]> {
	const sums = new Map<string, number>();
	for (const [key, value] of items) {
		sums.set(key, (sums.get(key) ?? 0) + value);
	}

	return [...sums];
}

function sumByService(items: ReadonlyArray<readonly [string, number]>) {
	return sumByKey(items).map(([service, value]) => ({labels: {service}, value}));
}
