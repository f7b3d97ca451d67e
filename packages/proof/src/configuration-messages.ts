/**
 * Selects the messages for the configuration adopter, and defines its tick interval.
 */
import type {Message} from '@wasabiusher/link';
import type {ConfigurationMessage} from '@wasabiusher/systems';

/** Interval between calls of the adopter's `tick`, in milliseconds. */
export const adopterMs = 1000;

const kinds: ReadonlySet<Message['kind']> = new Set(['configuration', 'configuration-delta', 'digest']);

export function isConfigurationMessage(message: Message): message is ConfigurationMessage {
	return kinds.has(message.kind);
}
