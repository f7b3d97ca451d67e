/**
 * Settings of the agent.
 */
import {z} from 'zod';
import {isLoopback} from '@wasabiusher/daemon';
import {engineAdapters, plainServiceAdapters, platformAdapters} from '@wasabiusher/backends';

/** Parses a comma-separated list of keys. */
const keysSchema = z.string().transform(text => text.split(',').map(key => key.trim()).filter(Boolean));

/** Returns the names in a table of adapters. */
function listAdapterNames<Name extends string>(adapters: Readonly<Record<Name, unknown>>): Name[] {
	// The type of the table lists all of its keys.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return Object.keys(adapters) as Name[];
}

export const agentSettingsSchema = z.object({
	name: z.string().min(1).describe('name of this process, unique among all'),
	listen: z.string().default('127.0.0.1:0').describe('ip:port for links and operations'),
	dataCentre: z.string().min(1).describe('data centre that this host stands in'),
	region: z.string().default('local').describe('region of the data centre'),
	service: z.string().min(1).describe('name of the service that the endpoint belongs to'),
	endpointKind: z.enum(['model', 'plain']).describe('model for an engine, plain for any other service'),
	endpoint: z.url().describe('origin of the endpoint, such as http://127.0.0.1:8000'),
	endpointAdapter: z.enum(listAdapterNames({...engineAdapters, ...plainServiceAdapters})).default('http').describe('wire format of the endpoint'),
	platform: z.url().describe('origin of the platform services'),
	platformAdapter: z.enum(listAdapterNames(platformAdapters)).default('http').describe('wire format of the platform services'),
	linkKeys: keysSchema.default([]).describe('keys of the links, comma-separated; the first proves, all verify'),
	limit: z.coerce.number().int().min(1).default(8).describe('requests run at once at the most'),
	maxWaiting: z.coerce.number().int().min(0).default(256).describe('requests waiting at the most'),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('least severe event logged'),
});

export type AgentSettings = z.infer<typeof agentSettingsSchema>;

/** Link key used if none is set; such a process listens on loopback only. */
export const loopbackKey = 'loopback';

/** Returns the link keys to use; throws a `RangeError` if the address is not loopback and no key is set. */
export function resolveKeys({linkKeys, listen}: Pick<AgentSettings, 'linkKeys' | 'listen'>): [string, ...string[]] {
	const [first, ...others] = linkKeys;
	if (first !== undefined) {
		return [first, ...others];
	}

	if (!isLoopback(listen)) {
		throw new RangeError('setting --link-keys is required unless --listen is a loopback address');
	}

	return [loopbackKey];
}
