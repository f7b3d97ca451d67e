/**
 * Which messages are the configuration adopter's, and how often it is called.
 */
import type {Message} from '@wasabiusher/link';
import type {ConfigurationMessage} from '@wasabiusher/systems';

/** Time between two calls of the adopter's `tick`, in milliseconds. */
export const adopterMs = 1000;

const kinds: ReadonlySet<Message['kind']> = new Set(['configuration', 'configuration-delta', 'digest']);

export function isConfigurationMessage(message: Message): message is ConfigurationMessage {
	return kinds.has(message.kind);
}
