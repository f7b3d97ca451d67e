/**
 * Measures the bytes and processor time of messages between entries and agents. The time covers encoding, decoding and validation.
 */
import {decodeMessage, encodeMessage, type Message} from '@wasabiusher/link';
import {memberSchema, type Member} from '@wasabiusher/backends';
import {
	configurationSchema, hashConfiguration, profileSchema, type Configuration,
} from '@wasabiusher/shared';
import {z} from 'zod';
import {createSlope, type Figure, type Measurement} from './figure.js';
import {measureUs} from './measure.js';

const attemptKey = {request: '6f1e1c52-41f0-4ef5-9b4e-0c9f0f1c7f21', attempt: 1};

export function createProfile() {
	return profileSchema.parse({
		class: 'interactive', priority: 9, idempotent: true, deadlineMs: 4000, share: 10, hedge: true, objective: {answeredInTime: 0.999},
	});
}

/** Creates a configuration with the given number of profiles and one service. */
export function createConfiguration(profiles: number): Configuration {
	return configurationSchema.parse({
		profiles: Object.fromEntries(Array.from({length: profiles}, (_, index) => [`profile-${index}`, createProfile()])),
		services: {models: {kind: 'model', models: ['trail']}},
	});
}

function createStatus(models: number): Message {
	return {
		kind: 'status',
		status: {
			service: 'models',
			models: Array.from({length: models}, (_, index) => ({model: `model-${index}`, version: 1000 + index})),
			role: 'any',
			limit: 64,
			running: 33,
			draining: 1,
			interactive: 12,
			waiting: 7,
			waitingWork: 1234.5,
			workPerSecond: 3700.25,
			isLeaving: false,
			isHealthy: true,
			configurationVersion: 41_000,
			fence: 12,
		},
	};
}

function createDelta(changes: number): Message {
	const {profiles} = createConfiguration(changes);
	return {
		kind: 'configuration-delta',
		delta: {
			version: 41_001,
			from: 41_000,
			hash: hashConfiguration({profiles, services: {}}),
			acceptedAt: 1_790_000_000_000,
			author: 'operator',
			profiles,
			services: {},
			gone: {profiles: [], services: []},
		},
	};
}

function createOpen(promptBytes: number): Message {
	return {
		kind: 'open',
		...attemptKey,
		work: {kind: 'generate', request: {model: 'trail', prompt: 'x'.repeat(promptBytes), maxTokens: 256}},
		service: 'models',
		caller: 'caller-17',
		profile: 'ranger-query',
		class: 'interactive',
		priority: 9,
		share: 10,
		cost: 256,
		remainingMs: 3987.5,
		isIdempotent: true,
		fingerprint: '0123456789abcdef',
		isSuspect: false,
	};
}

function createPart(tokens: number): Message {
	return {
		kind: 'part', ...attemptKey, sequence: 7, event: {kind: 'parts', parts: [{text: 'word '.repeat(tokens), tokens, version: 1000}]},
	};
}

/** Messages by the name of their figure, with the unit that their size counts. */
const messages: Readonly<Record<string, {per: string; sizes: readonly number[]; create(size: number): Message}>> = {
	'load report': {per: 'model', sizes: [1, 10, 100], create: createStatus},
	'configuration delta': {per: 'profile', sizes: [1, 10, 100, 1000], create: createDelta},
	request: {per: 'byte of the prompt', sizes: [100, 1000, 10_000, 100_000], create: createOpen},
	part: {per: 'token', sizes: [1, 8, 64, 512], create: createPart},
};

function measureMessage(message: Message): {bytes: number; us: number} {
	return {
		bytes: encodeMessage(message).length,
		us: measureUs(() => decodeMessage(encodeMessage(message))),
	};
}

const memberCounts = [100, 1000, 10_000] as const;

/** Measures the bytes of the platform's membership list and the processor time of parsing it, per host. */
function measureMembership(): Figure[] {
	const measured = memberCounts.map(n => {
		const members = Array.from({length: n}, (_, index): Member => ({
			id: `agent-${index}`, role: 'agent', address: '10.11.12.13:7101', dataCentre: 'hall-kufstein', region: 'tirol', service: 'models', state: 'live',
		}));
		const text = JSON.stringify(members);
		return {n, bytes: text.length, us: measureUs(() => z.array(memberSchema).parse(JSON.parse(text)))};
	});
	return [
		createSlope('membership bytes', 'B/host', measured.map(({n, bytes}) => ({n, value: bytes}))),
		createSlope('membership CPU', 'us/host', measured.map(({n, us}) => ({n, value: us}))),
	];
}

export function measureMessages(): Figure[] {
	const heartbeat = measureMessage({kind: 'ping', sentAt: 123_456.789});
	const figures: Figure[] = [
		{
			name: 'heartbeat bytes', value: heartbeat.bytes, unit: 'B', n: 1,
		},
		{
			name: 'heartbeat CPU', value: heartbeat.us, unit: 'us', n: 1,
		},
	];
	for (const [name, {per, sizes, create}] of Object.entries(messages)) {
		const measured = sizes.map(n => ({n, ...measureMessage(create(n))}));
		const pick = (field: 'bytes' | 'us'): Measurement[] => measured.map(({n, [field]: value}) => ({n, value}));
		figures.push(createSlope(`${name} bytes`, `B/${per}`, pick('bytes')), createSlope(`${name} CPU`, `us/${per}`, pick('us')));
	}

	return [...figures, ...measureMembership()];
}
