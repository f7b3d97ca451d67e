/**
 * Watches the endpoint: its health, what it reports, and whether it has crashed.
 */
import type {EngineReport} from '@wasabiusher/backends';
import type {Endpoint} from '@wasabiusher/systems';

/** What is known of the endpoint from its last report. */
export type EndpointState = {
	isHealthy: boolean;
	/** Of a model engine; undefined until its first report. */
	report?: EngineReport;
	/** Why it is not healthy. */
	error?: unknown;
};

export type WatchListener = {
	onReport(report: EngineReport): void;
	/** @param incarnation - names the run of the endpoint that has ended */
	onCrash(incarnation: string): void;
};

/** What one look at an endpoint of each kind brings. */
type Look = {report?: EngineReport; isHealthy: boolean};

/** One endpoint under watch. */
export class EndpointWatch {
	readonly #endpoint: Endpoint;
	readonly #listener: WatchListener;
	#state: EndpointState = {isHealthy: false};
	/** The run of the endpoint that is known to have ended, until another is seen. */
	#crashed: string | undefined;
	#refreshing: Promise<void> | undefined;
	#checking: Promise<boolean> | undefined;

	constructor(endpoint: Endpoint, listener: WatchListener) {
		this.#endpoint = endpoint;
		this.#listener = listener;
	}

	get state(): EndpointState {
		return this.#state;
	}

	/** Looks at the endpoint; several callers share one look. Never rejects. */
	async refresh(): Promise<void> {
		this.#refreshing ??= this.#look().finally(() => {
			this.#refreshing = undefined;
		});
		await this.#refreshing;
	}

	/**
	 * Whether the endpoint has crashed, asked when a stream broke off. An engine that answers under the same
	 * start id has not; one that does not answer has.
	 */
	async checkCrash(): Promise<boolean> {
		this.#checking ??= this.#check().finally(() => {
			this.#checking = undefined;
		});
		return this.#checking;
	}

	async #check(): Promise<boolean> {
		// A look that is under way may have been answered before the crash.
		await this.#refreshing;
		const before = this.#state.report?.startId;
		await this.refresh();
		if (!this.#state.isHealthy) {
			this.#recordCrash(this.#state.report?.startId ?? `plain-${Date.now()}`);
			return true;
		}

		return before !== this.#state.report?.startId;
	}

	async #look(): Promise<void> {
		try {
			const {report, isHealthy} = await look(this.#endpoint);
			const before = this.#state.report?.startId;
			this.#state = {isHealthy, report};
			if (before !== undefined && before !== report?.startId) {
				this.#recordCrash(before);
				this.#crashed = undefined;
			}

			if (report) {
				this.#listener.onReport(report);
			}
		} catch (error) {
			this.#state = {isHealthy: false, report: this.#state.report, error};
		}
	}

	/** Each run of an endpoint crashes once. */
	#recordCrash(incarnation: string): void {
		if (this.#crashed !== incarnation) {
			this.#crashed = incarnation;
			this.#listener.onCrash(incarnation);
		}
	}
}

async function look(endpoint: Endpoint): Promise<Look> {
	if (endpoint.kind === 'plain') {
		return {isHealthy: await endpoint.service.check()};
	}

	return {isHealthy: true, report: await endpoint.engine.report()};
}
