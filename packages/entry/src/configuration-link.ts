/**
 * Keeps the configuration of an entry current: reads it from the store and exchanges it with agents over the entry's links.
 */
import type {Message} from '@wasabiusher/link';
import {
	ConfigurationAdopter, type ConfigurationStatus, type ConfigurationAdopterSettings, type ConfigurationMessage, type ConfigurationOutput,
} from '@wasabiusher/systems';
import type {AcceptedConfiguration} from '@wasabiusher/shared';

/** How often the adopter checks for a change, in milliseconds. */
const tickMs = 1000;

/** Kinds of messages that the adopter handles. */
const configurationKinds: ReadonlySet<Message['kind']> = new Set(['configuration', 'configuration-delta', 'digest']);

export function isConfigurationMessage(message: Message): message is ConfigurationMessage {
	return configurationKinds.has(message.kind);
}

export type ConfigurationLinkSettings = Omit<ConfigurationAdopterSettings, 'onAdopted'> & {
	/** Sends a message to an agent by name; returns false if there is no link to it. */
	send(agent: string, message: Message): boolean;
};

/** Runs the adopter periodically and sends its messages. */
export class ConfigurationLink {
	readonly #adopter: ConfigurationAdopter;
	readonly #send: ConfigurationLinkSettings['send'];
	#timer: NodeJS.Timeout | undefined;

	constructor({send, ...settings}: ConfigurationLinkSettings) {
		this.#send = send;
		this.#adopter = new ConfigurationAdopter({...settings, onAdopted: () => undefined});
	}

	/** The configuration in force. */
	get accepted(): AcceptedConfiguration {
		return this.#adopter.accepted;
	}

	/** Whether an accepted configuration is in force and known to be the newest. */
	get isReady(): boolean {
		return this.#adopter.isReady && this.accepted.version > 0;
	}

	describe(): ConfigurationStatus {
		return this.#adopter.describe();
	}

	/** Resolves after the first attempt to read the configuration. */
	async start(): Promise<void> {
		await this.#tick();
		this.#timer = setInterval(() => {
			void this.#tick();
		}, tickMs);
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Applies a change that an operator made through this entry. */
	offer(accepted: AcceptedConfiguration): void {
		this.#sendAll(this.#adopter.adoptChange(accepted));
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
