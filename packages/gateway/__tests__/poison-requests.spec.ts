import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {hostTable} from '@wasabiusher/batches';
import {DirectCall, EndpointDirectory, type CallerRequest} from '@wasabiusher/direct';
import {
	createSilentLog, Random, type Route,
} from '@wasabiusher/shared';
import {MemoryRowStore, MemoryServing} from '@wasabiusher/standins';
import {poisonRequestPart, PoisonRequests, type PoisonRequestsSettings} from '../src/poison-requests.js';

const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'non-idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 100, priority: 0,
	targets: [{service: 's', weight: 1}], maxAttempts: 1, sampleTtlMs: 40_000, isSingleVersion: false, isOpen: false,
};

function createRequest(path: string, changes: Partial<CallerRequest> = {}): CallerRequest {
	return {
		method: 'POST', path, host: 'h', headers: {}, body: Buffer.from('b'), attemptId: 'r1', deadlineAt: performance.now() + 1000, customer: 'c', ...changes,
	};
}

describe('PoisonRequests', () => {
	let clock: Clock;
	let store: MemoryRowStore;
	let appliedVersion: number;
	let startCount = 0;

	beforeEach(() => {
		clock = install();
		store = new MemoryRowStore();
		appliedVersion = 0;
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createHost(host: string, checkEndpoint: PoisonRequestsSettings['checkEndpoint'] = async () => 'unknown') {
		startCount += 1;
		const directory = new EndpointDirectory(new Random(1));
		for (const id of ['e1', 'e2', 'e3', 'e4']) {
			directory.put({
				id, service: 's', address: id, dataCentre: 'd', slots: 4, isDraining: false, models: [], orderCount: 0, coldMs: 0, bornMs: 1,
			});
		}

		const poisonRequests = new PoisonRequests({
			rows: store,
			table: hostTable,
			host,
			writer: `${host}-${startCount}`,
			log: createSilentLog(),
			listHosts: () => ['a', 'b'],
			hasOpenRuns: () => false,
			readStoreMs: () => Date.now(),
			checkEndpoint,
		});
		return {poisonRequests, directory};
	}

	function crash({poisonRequests}: {poisonRequests: PoisonRequests}, endpoint: string, ...paths: string[]): void {
		for (const path of paths) {
			poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest(path));
		}

		poisonRequests.recordDown({endpoint});
	}

	/** Applies new rows of the store to hosts. */
	async function follow(...hosts: Array<{poisonRequests: PoisonRequests}>): Promise<void> {
		await clock.tickAsync(10);
		const {rows, version} = await store.read({table: hostTable, part: poisonRequestPart});
		for (const row of rows.filter(({version: rowVersion}) => rowVersion > appliedVersion)) {
			for (const {poisonRequests} of hosts) {
				poisonRequests.apply(row);
			}
		}

		appliedVersion = version;
	}

	it('refuses a request that crashed three endpoints through several hosts, on all hosts and on later ones; not a request that was in flight once, nor one of another customer', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		crash(a, 'e1', '/bad', '/good');
		crash(b, 'e2', '/bad');
		await follow(a, b);
		expect(a.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.equal(undefined);
		crash(b, 'e3', '/bad');
		await follow(a, b);
		appliedVersion = 0;
		const late = createHost('c');
		await follow(late);
		for (const {poisonRequests} of [a, b, late]) {
			expect(poisonRequests.findRetryDelayMs(createRequest('/bad', {attemptId: 'r2'}))).to.be.within(1, 5000);
			expect(poisonRequests.findRetryDelayMs(createRequest('/good'))).to.equal(undefined);
			expect(poisonRequests.findRetryDelayMs(createRequest('/bad', {customer: 'd'}))).to.equal(undefined);
			expect(poisonRequests.findRetryDelayMs(createRequest('/bad', {body: Buffer.from('x')}))).to.equal(undefined);
		}
	});

	it('ignores requests whose connection broke while the endpoint stays up', async () => {
		const a = createHost('a');
		for (const endpoint of ['e1', 'e2', 'e3', 'e4']) {
			a.poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest('/grey'));
		}

		expect(a.poisonRequests.findRetryDelayMs(createRequest('/grey'))).to.equal(undefined);
	});

	it('counts a crash that other requests reveal before its own run fails', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		for (const endpoint of ['e1', 'e2', 'e3']) {
			const startedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(500);
			a.poisonRequests.recordDown({endpoint});
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(500);
			a.poisonRequests.recordBroken({endpoint, startedAt}, createRequest('/bad'));
			a.poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest('/later'));
		}

		await follow(a, b);
		expect(b.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
		expect(b.poisonRequests.findRetryDelayMs(createRequest('/later'))).to.equal(undefined);
	});

	it('counts one crash once, whichever host sees it and whatever has registered under the id since', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		const run = {endpoint: 'e1', bornMs: 1, startedAt: performance.now()};
		a.poisonRequests.recordBroken(run, createRequest('/bad'));
		b.poisonRequests.recordBroken(run, createRequest('/bad'));
		a.poisonRequests.recordDown({endpoint: 'e1', bornMs: 1});
		b.poisonRequests.recordDown({endpoint: 'e1', bornMs: 2});
		b.poisonRequests.recordBroken({...run, bornMs: 3}, createRequest('/bad'));
		b.poisonRequests.recordDown({endpoint: 'e1', bornMs: 2});
		crash(a, 'e2', '/bad');
		await follow(a, b);
		expect(a.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.equal(undefined);
		b.poisonRequests.recordDown({endpoint: 'e1', bornMs: 3});
		await follow(a, b);
		expect(a.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('counts no crash when the registration of an endpoint that answers is removed', async () => {
		const [up, silent] = [createHost('a', async () => 'up'), createHost('b')];
		for (const {poisonRequests} of [up, silent]) {
			for (const endpoint of ['e1', 'e2', 'e3']) {
				poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest('/slow'));
				poisonRequests.recordRemoved({endpoint});
			}
		}

		await clock.tickAsync(10);
		expect([up, silent].map(({poisonRequests}) => poisonRequests.counts.crashesSeen)).to.deep.equal([0, 3]);
	});

	it('clears a request on all hosts once one of them gets an answer, and lets hosts try any other again in turn after a minute', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		for (const endpoint of ['e1', 'e2', 'e3']) {
			crash(a, endpoint, '/bad', '/unlucky');
		}

		await follow(a, b);
		b.poisonRequests.recordFinished(createRequest('/unlucky'));
		await follow(a, b);
		expect([a, b].map(({poisonRequests}) => poisonRequests.findRetryDelayMs(createRequest('/unlucky')))).to.deep.equal([undefined, undefined]);
		expect(b.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
		await clock.tickAsync(61_000);
		const listAdmitting = () => [a, b].filter(({poisonRequests}) => poisonRequests.findRetryDelayMs(createRequest('/bad')) === undefined);
		const [first] = listAdmitting();
		expect(listAdmitting()).to.have.length(1);
		first!.poisonRequests.recordAttempt(createRequest('/bad'));
		expect(listAdmitting()).to.have.length(0);
		await clock.tickAsync(6000);
		expect(listAdmitting()).to.deep.equal([a, b].filter(host => host !== first));
	});

	it('keeps the evidence of a process whose successor on the same host has not read it', async () => {
		crash(createHost('a'), 'e1', '/bad');
		await clock.tickAsync(10);
		crash(createHost('a'), 'e2', '/bad');
		const late = createHost('c');
		await follow(late);
		crash(late, 'e3', '/bad');
		expect(late.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('does not count runs that failed before the request was completed elsewhere', async () => {
		const a = createHost('a');
		for (const path of ['/good', '/bad']) {
			for (const endpoint of ['e1', 'e2', 'e3']) {
				a.poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest(path));
			}
		}

		a.poisonRequests.recordFinished(createRequest('/good'));
		for (const endpoint of ['e1', 'e2', 'e3']) {
			a.poisonRequests.recordDown({endpoint});
		}

		expect(a.poisonRequests.findRetryDelayMs(createRequest('/good'))).to.equal(undefined);
		expect(a.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('writes the crash of a request that has failed at two endpoints before anything else finds them down', async () => {
		const [a, late] = [createHost('a', async () => 'down'), createHost('c')];
		for (const endpoint of ['e1', 'e2', 'e3']) {
			a.poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest('/bad'));
			a.poisonRequests.recordBroken({endpoint, startedAt: performance.now()}, createRequest(`/good/${endpoint}`));
		}

		await follow(late);
		expect(late.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
		expect(a.poisonRequests.counts.crashesSeen).to.equal(3);
	});

	it('tells other hosts of a crash once the store accepts writes again', async () => {
		const a = createHost('a');
		const late = createHost('c');
		store.switches.isDown = true;
		for (const endpoint of ['e1', 'e2', 'e3']) {
			crash(a, endpoint, '/bad');
		}

		await clock.tickAsync(2000);
		store.switches.isDown = false;
		await clock.tickAsync(500);
		await follow(late);
		expect(late.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('writes its row again after an older write without an answer has replaced it', async () => {
		const a = createHost('a');
		store.switches.writesToDelay = 1;
		store.switches.lateMs = 1000;
		crash(a, 'e1', '/bad');
		await clock.tickAsync(10);
		crash(a, 'e2', '/bad');
		crash(a, 'e3', '/bad');
		for (let i = 0; i < 4; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(400);
			// eslint-disable-next-line no-await-in-loop
			await follow(a);
		}

		appliedVersion = 0;
		const late = createHost('c');
		await follow(late);
		expect(late.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('does not let a request run freely at a host that starts after its quarantine', async () => {
		const [a, b] = [createHost('a'), createHost('b')];
		for (const endpoint of ['e1', 'e2', 'e3']) {
			crash(a, endpoint, '/bad');
		}

		await follow(a, b);
		await clock.tickAsync(70_000);
		await b.poisonRequests.sweep();
		appliedVersion = 0;
		const late = createHost('c');
		await follow(late);
		expect(late.poisonRequests.findRetryDelayMs(createRequest('/bad'))).to.be.greaterThan(0);
	});

	it('keeps an expired row that its writer has renewed meanwhile', async () => {
		const [a, sweeper] = [createHost('a'), createHost('b')];
		crash(a, 'e1', '/bad');
		await follow(sweeper);
		await clock.tickAsync(661_000);
		crash(a, 'e2', '/bad');
		await clock.tickAsync(10);
		await sweeper.poisonRequests.sweep();
		const {rows} = await store.read({table: hostTable, part: poisonRequestPart});
		expect(rows).to.have.length(1);
	});

	it('removes expired rows and throws on a malformed one', async () => {
		const a = createHost('a');
		crash(a, 'e1', '/bad');
		await follow(a);
		await clock.tickAsync(661_000);
		await a.poisonRequests.sweep();
		const {rows} = await store.read({table: hostTable, part: poisonRequestPart});
		expect(rows).to.deep.equal([]);
		expect(() => {
			a.poisonRequests.apply({
				table: hostTable, part: poisonRequestPart, key: 'x/a', version: 9, value: Buffer.from('{}'),
			});
		}).to.throw();
	});

	it('sends a poison request to three endpoints, then refuses it at once as not run', async () => {
		const {poisonRequests, directory} = createHost('a');
		const serving = new MemoryServing();
		const endpoints = ['e1', 'e2', 'e3', 'e4'].map(id => serving.add(id, id));
		const outcomes: string[] = [];
		for (let i = 0; i < 8; i += 1) {
			for (const endpoint of endpoints) {
				endpoint.switches.answersToLose = 1;
			}

			const call = new DirectCall({
				directory, client: serving, random: new Random(i), log: createSilentLog(), poisonRequests,
			}, route, createRequest('/bad'), new AbortController().signal).run();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20);
			// eslint-disable-next-line no-await-in-loop
			const {kind} = await call;
			outcomes.push(kind);
			for (const {id, runs} of endpoints) {
				if (runs.length > 0) {
					poisonRequests.recordDown({endpoint: id, bornMs: directory.get(id)?.bornMs});
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
