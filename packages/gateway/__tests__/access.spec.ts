import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {MemoryRowStore, MemoryServing} from '@wasabiusher/standins';
import {
	createSilentLog, Random, type Deployment, type RegisteredEndpoint, type Route,
} from '@wasabiusher/shared';
import {Gateway, type CatalogFormat} from '../src/index.js';

/** The configuration row that these tests write to the store. */
type ConfigurationRow = {version: number; keys?: Record<string, string[]>; prefixes?: string[]; priority?: number};

function createRoute(prefix: string): Route {
	return {
		name: prefix, host: 'h', prefix, kind: 'idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 100, priority: 5, targets: [{service: 's', weight: 1}],
		maxAttempts: 1, sampleTtlMs: 1000, isSingleVersion: false, isOpen: prefix === '/open/',
	};
}

function toDeployment({version, keys, prefixes = ['/a/', '/open/'], priority}: ConfigurationRow): Deployment {
	return {
		version,
		routes: prefixes.map(prefix => createRoute(prefix)),
		services: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
		customers: keys && new Map(Object.entries(keys).map(([name, ownKeys]) => [name, {name, keys: ownKeys, priority}])),
	};
}

const format: CatalogFormat = {
	operatorTable: 'op',
	endpointTable: 'servers',
	decodeOperatorRow: (_, value) => ({kind: 'deployment', deployment: toDeployment(JSON.parse(Buffer.from(value).toString()) as ConfigurationRow)}),
	decodeEndpoint: (_, value) => JSON.parse(Buffer.from(value).toString()) as RegisteredEndpoint,
};

describe('Gateway access', () => {
	let clock: Clock;
	let root: MemoryRowStore;
	let store: MemoryRowStore;
	let gateway: Gateway;

	async function write(row: ConfigurationRow): Promise<void> {
		await root.commit({
			conditions: [], deletes: [], puts: [{
				table: 'op', part: '', key: 'config', value: Buffer.from(JSON.stringify(row)),
			}],
		});
	}

	async function findAccess(key: string | undefined, path = '/a/x') {
		const work = gateway.findAccess({host: 'h', path, key});
		await clock.tickAsync(500);
		return work;
	}

	beforeEach(async () => {
		clock = install();
		root = new MemoryRowStore();
		store = root.createView();
		gateway = new Gateway({
			host: 'a', rows: store, blobs: store, client: new MemoryServing(), format, random: new Random(1), log: createSilentLog(), leaseMs: 3000, statusMs: 1000,
		});
		await write({version: 1, keys: {a: ['k1'], b: ['k2']}});
		gateway.start();
		await clock.tickAsync(1000);
	});

	afterEach(() => {
		gateway.stop();
		clock.uninstall();
	});

	it('grants a request to the owner of its key without polling the store', async () => {
		const {follows} = store.counts;
		const access = await gateway.findAccess({host: 'h', path: '/a/x', key: 'k2'});
		expect(access.kind === 'granted' && access.customer?.name).to.equal('b');
		expect(store.counts.follows).to.equal(follows);
	});

	it('refuses a request without a known key, and grants it if the route or the configuration needs no key', async () => {
		expect(await findAccess(undefined)).to.include({kind: 'unauthorized', reason: 'a key is needed'});
		expect(await findAccess('k3')).to.include({kind: 'unauthorized', reason: 'the key is not known'});
		expect(await findAccess(undefined, '/open/x')).to.include({kind: 'granted'});
		expect(await findAccess(undefined, '/other/x')).to.include({kind: 'unknown-route'});
		await write({version: 2});
		await clock.tickAsync(100);
		expect(await findAccess(undefined)).to.include({kind: 'granted'});
	});

	it('applies the customer\'s priority instead of that of the route', async () => {
		await write({version: 2, keys: {a: ['k1']}, priority: 1});
		await clock.tickAsync(100);
		const access = await findAccess('k1');
		expect(access.kind === 'granted' && access.route.priority).to.equal(1);
	});

	it('grants a request by a key and a route that were added during an outage of the store', async () => {
		store.switches.isDown = true;
		await clock.tickAsync(800);
		await write({version: 2, keys: {a: ['k1', 'k9']}, prefixes: ['/a/', '/new/']});
		store.switches.isDown = false;
		const access = await gateway.findAccess({host: 'h', path: '/new/x', key: 'k9'});
		expect(access.kind).to.equal('granted');
	});

	it('answers unsure instead of a refusal while the store does not serve the host', async () => {
		store.switches.isDown = true;
		expect(await findAccess('k9')).to.deep.equal({kind: 'unsure'});
		expect(await findAccess('k1', '/new/x')).to.deep.equal({kind: 'unsure'});
		expect(await findAccess('k1')).to.include({kind: 'granted'});
	});

	it('answers unsure within 450 ms if the store is unresponsive', async () => {
		store.switches.silentMs = 5000;
		let access: unknown;
		void gateway.findAccess({host: 'h', path: '/a/x', key: 'k9'}).then(found => {
			access = found;
		});
		await clock.tickAsync(450);
		expect(access).to.deep.equal({kind: 'unsure'});
	});

	it('refuses a removed key, also after an older configuration arrives late', async () => {
		await write({version: 3, keys: {a: ['k1']}});
		await clock.tickAsync(100);
		await write({version: 2, keys: {a: ['k1'], b: ['k2']}});
		await clock.tickAsync(100);
		expect(await findAccess('k2')).to.include({kind: 'unauthorized'});
	});

	it('polls the store at most about ten times a second, however many keys are unknown', async () => {
		const {follows} = store.counts;
		const pending = [];
		for (let i = 0; i < 200; i += 1) {
			pending.push(gateway.findAccess({host: 'h', path: '/a/x', key: `x${i}`}));
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(5);
		}

		await clock.tickAsync(500);
		const kinds = await Promise.all(pending);
		expect(new Set(kinds.map(({kind}) => kind))).to.deep.equal(new Set(['unauthorized']));
		// Over 1.5 s, in addition to two or three regular polls of each of four tables.
		expect(store.counts.follows - follows).to.be.at.most(15 + (4 * 3));
	});
});
