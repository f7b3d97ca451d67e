/**
 * The configuration of an entry: reads and spreads it over the entry's links.
 */
import type {Message} from '@wasabiusher/link';
import {
	ConfigurationAdopter, type AdopterStatus, type ConfigurationAdopterSettings, type ConfigurationMessage, type ConfigurationOutput,
} from '@wasabiusher/systems';
import type {AcceptedConfiguration} from '@wasabiusher/shared';

/** How often the adopter looks for a change, in milliseconds. */
const tickMs = 1000;

/** Kinds of messages that are the adopter's. */
const configurationKinds: ReadonlySet<Message['kind']> = new Set(['configuration', 'configuration-delta', 'digest']);

export function isConfigurationMessage(message: Message): message is ConfigurationMessage {
	return configurationKinds.has(message.kind);
}

export type ConfigurationLinkSettings = Omit<ConfigurationAdopterSettings, 'onAdopted'> & {
	/** Sends to an agent by name; false if it has no link at present. */
	send(agent: string, message: Message): boolean;
};

/** Keeps the adopter running and sends what it has to say. */
export class ConfigurationLink {
	readonly #adopter: ConfigurationAdopter;
	readonly #send: ConfigurationLinkSettings['send'];
	#timer: NodeJS.Timeout | undefined;

	constructor({send, ...settings}: ConfigurationLinkSettings) {
		this.#send = send;
		this.#adopter = new ConfigurationAdopter({...settings, onAdopted: () => undefined});
	}

	/** What is in force. */
	get accepted(): AcceptedConfiguration {
		return this.#adopter.accepted;
	}

	/** Whether an accepted configuration is in force and known to be the newest. */
	get isReady(): boolean {
		return this.#adopter.isReady && this.accepted.version > 0;
	}

	describe(): AdopterStatus {
		return this.#adopter.describe();
	}

	/** Resolves when the record was asked for the first time. */
	async start(): Promise<void> {
		await this.#tick();
		this.#timer = setInterval(() => {
			void this.#tick();
		}, tickMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Puts a change in force that an operator made through this entry. */
	offer(accepted: AcceptedConfiguration): void {
		this.#sendAll(this.#adopter.offer(accepted));
	}

	receive(agent: string, message: ConfigurationMessage): void {
		this.#sendAll(this.#adopter.receive(agent, message));
	}

	onLinkUp(agent: string): void {
		this.#sendAll(this.#adopter.onLinkUp(agent));
	}

	onLinkDown(agent: string): void {
		this.#adopter.onLinkDown(agent);
	}

	async #tick(): Promise<void> {
		this.#sendAll(await this.#adopter.tick());
	}

	#sendAll(outputs: readonly ConfigurationOutput[]): void {
		for (const {to, message} of outputs) {
			this.#send(to, message);
		}
	}
}
