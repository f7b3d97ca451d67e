/**
 * Settings of the entry.
 */
import {z} from 'zod';
import {isLoopback} from '@wasabiusher/daemon';

const listSchema = z.string().transform(text => text.split(',').map(item => item.trim()).filter(Boolean));

const fieldsSchema = z.object({
	name: z.string().min(1).describe('name of this process, unique among all'),
	listen: z.string().default('127.0.0.1:0').describe('ip:port for callers and trainers'),
	operatorListen: z.string().default('127.0.0.1:0').describe('ip:port for operators'),
	dataCentre: z.string().min(1).describe('data centre that this host stands in'),
	region: z.string().default('local').describe('region of the data centre'),
	platform: z.url().describe('origin of the platform services'),
	linkKeys: listSchema.default([]).describe('keys of the links, comma-separated; the first proves, all verify'),
	operatorTokens: listSchema.default([]).describe('tokens of operators, comma-separated'),
	trainerTokens: listSchema.default([]).describe('tokens of trainers, comma-separated'),
	drainLimitMs: z.coerce.number().int().min(0).optional().describe('longest drain in milliseconds, after which callers are cut off; no limit by default'),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('least severe event logged'),
});

type Fields = z.infer<typeof fieldsSchema>;

type SecretRule = {secret: 'linkKeys' | 'trainerTokens' | 'operatorTokens'; address: 'listen' | 'operatorListen'; flag: string};

/** An address that is not loopback requires the secret that protects it. */
const secretRules: readonly SecretRule[] = [
	{secret: 'linkKeys', address: 'listen', flag: '--listen'},
	{secret: 'trainerTokens', address: 'listen', flag: '--listen'},
	{secret: 'operatorTokens', address: 'operatorListen', flag: '--operator-listen'},
];

/** Returns the rules that the fields violate. */
function listBrokenRules(fields: Fields): SecretRule[] {
	return secretRules.filter(({secret, address}) => fields[secret].length === 0 && !isLoopback(fields[address]));
}

export const entrySettingsSchema = fieldsSchema.superRefine((fields, context) => {
	for (const {secret, flag} of listBrokenRules(fields)) {
		context.addIssue({code: 'custom', path: [secret], message: `required unless ${flag} is a loopback address`});
	}
});

export type EntrySettings = Fields;

/** Returns the names of the secrets that are not set; the routes that they protect accept any request from this machine. */
export function listMissingSecrets(settings: EntrySettings): string[] {
	return secretRules.filter(({secret}) => settings[secret].length === 0).map(({secret}) => secret);
}
