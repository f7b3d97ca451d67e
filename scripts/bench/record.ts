/**
 * Measures the bytes, processor time and transactions of writes to the table service.
 */
import {ClaimLog, LeaseHolder, SampleLog} from '@wasabiusher/record';
import {createSilentLog, Random, type Sample} from '@wasabiusher/shared';
import {MemoryObjectStore, MemoryTableService} from '@wasabiusher/standins';
import type {ConditionalWrite} from '@wasabiusher/backends';
import {createSlope, type Figure, type Measurement} from './figure.js';
import {measureAsyncUs} from './measure.js';

const batchSizes = [1, 10, 100] as const;

const leaseCounts = [1, 10, 100] as const;

/** Counts transactions and the bytes of their writes as JSON. */
class CountingTables extends MemoryTableService {
	bytes = 0;
	transactions = 0;

	override async transact(writes: readonly ConditionalWrite[]): Promise<number[]> {
		this.bytes += JSON.stringify(writes).length;
		this.transactions += 1;
		return super.transact(writes);
	}
}

type Cost = {bytes: number; us: number; transactions: number};

async function measureClaims(count: number): Promise<Cost> {
	const tables = new CountingTables();
	const claims = new ClaimLog({tables, objects: new MemoryObjectStore(), name: 'entry-1'});
	let round = 0;
	const us = await measureAsyncUs(async () => {
		round += 1;
		await Promise.all(Array.from({length: count}, async (_, index) => claims.claim(`ledger/key-${round}-${index}`, '0123456789abcdef', 5000)));
	}, 1);
	return {us, bytes: tables.bytes / round, transactions: tables.transactions / round};
}

function createSamples(count: number, round: number): Sample[] {
	return Array.from({length: count}, (_, index) => ({
		id: `step-1/${round}/${index}`, step: 'step-1', group: round, index, attempt: 1, model: 'trail', versions: [{version: 3, from: 0, to: 512}], text: 'word '.repeat(512), tokens: 512,
	}));
}

async function measureSamples(count: number): Promise<Cost> {
	const tables = new CountingTables();
	const log = new SampleLog({tables, objects: new MemoryObjectStore(), step: 'step-1'});
	await log.open({fingerprint: 'f', fence: 1, request: {}});
	tables.bytes = 0;
	tables.transactions = 0;
	let round = 0;
	const us = await measureAsyncUs(async () => {
		round += 1;
		await log.append(createSamples(count, round), '');
	}, 1);
	return {us, bytes: tables.bytes / round, transactions: tables.transactions / round};
}

async function measureLeases(count: number): Promise<Cost> {
	const tables = new CountingTables();
	const holders = Array.from({length: count}, (_, index) => new LeaseHolder({
		tables, shard: `shard-${index}`, holder: 'entry-1', address: '127.0.0.1:1', random: new Random(index), log: createSilentLog(),
	}));
	await Promise.all(holders.map(async holder => holder.attempt()));
	tables.bytes = 0;
	tables.transactions = 0;
	let round = 0;
	const us = await measureAsyncUs(async () => {
		round += 1;
		await Promise.all(holders.map(async holder => holder.attempt()));
	}, 1);
	return {us, bytes: tables.bytes / round, transactions: tables.transactions / round};
}

async function measureAll(name: string, sizes: readonly number[], measure: (n: number) => Promise<Cost>): Promise<Figure[]> {
	const costs: Array<Cost & {n: number}> = [];
	for (const n of sizes) {
		// Measurements run one at a time so that they do not distort each other.
		// eslint-disable-next-line no-await-in-loop
		costs.push({n, ...await measure(n)});
	}

	const pick = (field: keyof Cost): Measurement[] => costs.map(({n, [field]: value}) => ({n, value}));
	return [
		createSlope(`${name} bytes`, 'B', pick('bytes')),
		createSlope(`${name} CPU`, 'us', pick('us')),
		createSlope(`${name} transactions`, 'writes', pick('transactions')),
	];
}

export async function measureRecord(): Promise<Figure[]> {
	return [
		...await measureAll('claim', batchSizes, measureClaims),
		...await measureAll('sample record', batchSizes, measureSamples),
		...await measureAll('lease renewal', leaseCounts, measureLeases),
	];
}
