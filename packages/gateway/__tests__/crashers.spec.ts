import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {hostTable} from '@wasabiusher/batches';
import {DirectCall, EndpointDirectory, type CallerRequest} from '@wasabiusher/direct';
import {
	createSilentLog, Random, type Route,
} from '@wasabiusher/shared';
import {MemoryRowStore, MemoryServing} from '@wasabiusher/standins';
import {crasherPart, Crashers} from '../src/crashers.js';

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'non-idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 100, priority: 0,
	targets: [{service: 's', weight: 1}], maxAttempts: 1, sampleTtlMs: 40_000, isSingleVersion: false, isOpen: false,
};

function createRequest(path: string, changes: Partial<CallerRequest> = {}): CallerRequest {
	return {
		method: 'POST', path, host: 'h', headers: {}, body: Buffer.from('b'), attemptId: 'r1', deadlineAt: performance.now() + 1000, customer: 'c', ...changes,
	};
}

describe('Crashers', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let seen: number;

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
		seen = 0;
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createHost(host: string) {
		const directory = new EndpointDirectory(new Random(1));
		for (const id of ['e1', 'e2', 'e3', 'e4']) {
			directory.put({
				id, service: 's', address: id, dataCentre: 'd', slots: 4, isDraining: false, models: [], orderCount: 0, coldMs: 0, bornMs: 1,
			});
		}

		const crashers = new Crashers({
			rows: store, table: hostTable, host, directory, log: createSilentLog(), readStoreMs: () => Date.now(),
		});
		return {crashers, directory};
	}

	function crash({crashers}: {crashers: Crashers}, endpoint: string, ...paths: string[]): void {
		for (const path of paths) {
			crashers.noteBroken(endpoint, createRequest(path));
		}

		crashers.noteDown(endpoint);
	}

	/** Gives hosts what the store has. */
	async function follow(...hosts: Array<{crashers: Crashers}>): Promise<void> {
		await clock.tickAsync(10);
		const {rows, version} = await store.read({table: hostTable, part: crasherPart});
		for (const row of rows.filter(({version: written}) => written > seen)) {
			for (const {crashers} of hosts) {
				crashers.apply(row);
			}
		}

		seen = version;
	}

	it('refuses on all hosts, also later ones, what has crashed three endpoints through several; not what was there once, nor another\'s', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		crash(a, 'e1', '/bad', '/good');
		crash(b, 'e2', '/bad');
		await follow(a, b);
		expect(a.crashers.findRefusalMs(createRequest('/bad'))).to.equal(undefined);
		crash(b, 'e3', '/bad');
		await follow(a, b);
		seen = 0;
		const late = createHost('c');
		await follow(late);
		for (const {crashers} of [a, b, late]) {
			expect(crashers.findRefusalMs(createRequest('/bad', {attemptId: 'r2'}))).to.be.within(1, 5000);
			expect(crashers.findRefusalMs(createRequest('/good'))).to.equal(undefined);
			expect(crashers.findRefusalMs(createRequest('/bad', {customer: 'd'}))).to.equal(undefined);
			expect(crashers.findRefusalMs(createRequest('/bad', {body: Buffer.from('x')}))).to.equal(undefined);
		}
	});

	it('counts no request that broke while its endpoint goes on', async () => {
		const a = createHost('a');
		for (const endpoint of ['e1', 'e2', 'e3', 'e4']) {
			a.crashers.noteBroken(endpoint, createRequest('/grey'));
		}

		expect(a.crashers.findRefusalMs(createRequest('/grey'))).to.equal(undefined);
	});

	it('frees on all hosts what any of them sees answered, and tries again after a minute what none does', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		for (const endpoint of ['e1', 'e2', 'e3']) {
			crash(a, endpoint, '/bad', '/unlucky');
		}

		await follow(a, b);
		b.crashers.noteFinished(createRequest('/unlucky'));
		await follow(a, b);
		expect([a, b].map(({crashers}) => crashers.findRefusalMs(createRequest('/unlucky')))).to.deep.equal([undefined, undefined]);
		expect(b.crashers.findRefusalMs(createRequest('/bad'))).to.be.greaterThan(0);
		await clock.tickAsync(61_000);
		expect([a, b].map(({crashers}) => crashers.findRefusalMs(createRequest('/bad')))).to.deep.equal([undefined, undefined]);
	});

	it('removes rows that count for nothing any more, and takes nothing from one of no form', async () => {
		const a = createHost('a');
		crash(a, 'e1', '/bad');
		await follow(a);
		await clock.tickAsync(61_000);
		await a.crashers.sweep();
		const {rows} = await store.read({table: hostTable, part: crasherPart});
		expect(rows).to.deep.equal([]);
		expect(() => {
			a.crashers.apply({
				table: hostTable, part: crasherPart, key: 'x/a', version: 9, value: Buffer.from('{}'),
			});
		}).to.throw();
	});

	it('sends a request that crashes endpoints to three of them, then answers at once that it has not run', async () => {
		const {crashers, directory} = createHost('a');
		const serving = new MemoryServing();
		const endpoints = ['e1', 'e2', 'e3', 'e4'].map(id => serving.add(id, id));
		const outcomes: string[] = [];
		for (let i = 0; i < 8; i += 1) {
			for (const endpoint of endpoints) {
				endpoint.switches.answersToLose = 1;
			}

			const call = new DirectCall({
				directory, client: serving, random: new Random(i), log: createSilentLog(), crashers,
			}, route, createRequest('/bad'), new AbortController().signal).run();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20);
			// eslint-disable-next-line no-await-in-loop
			const {kind} = await call;
			outcomes.push(kind);
			for (const {id, runs} of endpoints) {
				if (runs.length > 0) {
					crashers.noteDown(id);
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(3000);
			for (const endpoint of directory.list('s')) {
				directory.put({...endpoint, bornMs: endpoint.bornMs! + 1});
			}
		}

		expect(outcomes).to.deep.equal([...Array.from({length: 3}, () => 'unknown'), ...Array.from({length: 5}, () => 'not-run')]);
	});
});
