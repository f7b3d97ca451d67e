/**
 * Monitors the endpoint: its health, its reports and its crashes.
 */
import type {EngineReport} from '@wasabiusher/backends';
import type {Endpoint} from '@wasabiusher/systems';

/** State of the endpoint as of its last probe. */
export type EndpointState = {
	isHealthy: boolean;
	/** Last report of a model engine; undefined before the first one. */
	report?: EngineReport;
	/** Error of the last probe if the endpoint is not healthy. */
	error?: unknown;
};

export type EndpointListener = {
	onReport(report: EngineReport): void;
	/** @param incarnation - identifies the process of the endpoint that has ended */
	onCrash(incarnation: string): void;
};

/** Result of one probe. */
type ProbeResult = {report?: EngineReport; isHealthy: boolean};

/** Monitors one endpoint. */
export class EndpointMonitor {
	readonly #endpoint: Endpoint;
	readonly #listener: EndpointListener;
	#state: EndpointState = {isHealthy: false};
	/** Incarnation of the endpoint that is known to have ended, until a new one reports. */
	#crashedIncarnation: string | undefined;
	#refreshing: Promise<void> | undefined;
	#checking: Promise<boolean> | undefined;

	constructor(endpoint: Endpoint, listener: EndpointListener) {
		this.#endpoint = endpoint;
		this.#listener = listener;
	}

	get state(): EndpointState {
		return this.#state;
	}

	/** Probes the endpoint; concurrent calls share one probe. Never rejects. */
	async refresh(): Promise<void> {
		this.#refreshing ??= this.#probe().finally(() => {
			this.#refreshing = undefined;
		});
		await this.#refreshing;
	}

	/**
	 * Returns whether the endpoint has crashed; called when a stream was interrupted. An engine that reports the same
	 * start id has not crashed; one that does not respond has.
	 */
	async checkCrash(): Promise<boolean> {
		this.#checking ??= this.#detectCrash().finally(() => {
			this.#checking = undefined;
		});
		return this.#checking;
	}

	async #detectCrash(): Promise<boolean> {
		// A probe in progress may have been answered before the crash.
		await this.#refreshing;
		const before = this.#state.report?.startId;
		await this.refresh();
		if (!this.#state.isHealthy) {
			this.#recordCrash(this.#state.report?.startId ?? `plain-${Date.now()}`);
			return true;
		}

		return before !== this.#state.report?.startId;
	}

	async #probe(): Promise<void> {
		try {
			const {report, isHealthy} = await probeEndpoint(this.#endpoint);
			const before = this.#state.report?.startId;
			this.#state = {isHealthy, report};
			if (before !== undefined && before !== report?.startId) {
				this.#recordCrash(before);
				this.#crashedIncarnation = undefined;
			}

			if (report) {
				this.#listener.onReport(report);
			}
		} catch (error) {
			this.#state = {isHealthy: false, report: this.#state.report, error};
		}
	}

	/** Reports a crash at most once per incarnation. */
	#recordCrash(incarnation: string): void {
		if (this.#crashedIncarnation !== incarnation) {
			this.#crashedIncarnation = incarnation;
			this.#listener.onCrash(incarnation);
		}
	}
}

async function probeEndpoint(endpoint: Endpoint): Promise<ProbeResult> {
	if (endpoint.kind === 'plain') {
		return {isHealthy: await endpoint.service.check()};
	}

	return {isHealthy: true, report: await endpoint.engine.report()};
}
