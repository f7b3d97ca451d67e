/**
 * Settings of the entry.
 */
import {z} from 'zod';

const listSchema = z.string().transform(text => text.split(',').map(item => item.trim()).filter(Boolean));

export const entrySettingsSchema = z.object({
	name: z.string().min(1).describe('name of this process, unique among all'),
	listen: z.string().default('127.0.0.1:0').describe('ip:port for callers and trainers'),
	operatorListen: z.string().default('127.0.0.1:0').describe('ip:port for operators'),
	dataCentre: z.string().min(1).describe('data centre that this host stands in'),
	region: z.string().default('local').describe('region of the data centre'),
	platform: z.url().describe('origin of the platform services'),
	linkKeys: listSchema.default([]).describe('keys of the links, comma-separated; the first proves, all verify'),
	operatorTokens: listSchema.default([]).describe('tokens of operators, comma-separated'),
	trainerTokens: listSchema.default([]).describe('tokens of trainers, comma-separated'),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info').describe('least severe event logged'),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
