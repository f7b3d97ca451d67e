import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {HttpServer} from '@wasabiusher/daemon';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {readLinkKey} from '../src/link-key.js';
import {PeerLinks} from '../src/peer-links.js';
import {PeerServer} from '../src/peer-server.js';
import {RoutedStore} from '../src/routed-store.js';
import {StoreCircuitBreaker} from '../src/store-circuit-breaker.js';

const row = {table: 't', part: 'p', key: 'k'};
const write = {conditions: [{...row, version: 0}], puts: [{...row, value: Buffer.from('a')}], deletes: []};

/** One host: its own connection to the store, and links to and from other hosts. */
type Host = {store: MemoryRowStore; routed: RoutedStore; address: string; close(): void};

describe('RoutedStore', () => {
	const root = new MemoryRowStore();
	let hosts: Host[];

	async function createHost(peers: () => string[], findKey = () => 'key'): Promise<Host> {
		const name = `h${hosts.length}`;
		const store = root.createView();
		const breaker = new StoreCircuitBreaker(store);
		const log = createSilentLog();
		const http = new HttpServer();
		const server = new PeerServer(http.server, {
			host: name, breaker, log, findKey,
		});
		const address = await http.listen('127.0.0.1:0');
		const routed = new RoutedStore({
			breaker, log, peers: new PeerLinks({
				host: name, random: new Random(hosts.length + 1), log, listPeers: peers, findKey,
			}),
		});
		const host: Host = {
			store,
			routed,
			address,
			close() {
				routed.stop();
				server.close();
				void http.close();
			},
		};
		hosts.push(host);
		return host;
	}

	/** Repeats work until it succeeds; bounded by the timeout of the test. */
	async function repeat<Result>(work: () => Promise<Result>): Promise<Result> {
		for (;;) {
			try {
				// eslint-disable-next-line no-await-in-loop
				return await work();
			} catch (error) {
				if (!(error instanceof PlatformError) || error.code !== 'unavailable') {
					throw error;
				}

				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					setTimeout(resolve, 20);
				});
			}
		}
	}

	async function catchCode(work: Promise<unknown>): Promise<string> {
		try {
			await work;
		} catch (error) {
			return error instanceof PlatformError ? error.code : String(error);
		}

		return 'none';
	}

	beforeEach(() => {
		hosts = [];
	});

	afterEach(() => {
		for (const host of hosts) {
			host.close();
		}
	});

	it('relays reads, polls and writes through another host while the store refuses this one, and sends them directly afterwards', async () => {
		const helper = await createHost(() => []);
		const cut = await createHost(() => [helper.address]);
		cut.store.switches.isDown = true;
		const {version} = await repeat(async () => cut.routed.commit(write));
		expect(cut.routed.isRelayed).to.equal(true);
		const {rows} = await cut.routed.read({table: 't', part: 'p'});
		expect(rows.map(({key, value}) => [key, Buffer.from(value).toString()])).to.deep.equal([['k', 'a']]);
		const {changes} = await cut.routed.follow('t', version - 1, 0);
		expect(changes.map(({key}) => key)).to.deep.equal(['k']);
		expect(await catchCode(cut.routed.commit(write))).to.equal('conflict');
		cut.store.switches.isDown = false;
		while (cut.routed.isRelayed) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, 20);
			});
		}

		const before = helper.store.counts.reads;
		await cut.routed.read({table: 't', part: 'p'});
		expect(helper.store.counts.reads).to.equal(before);
	});

	it('lets a relayed call in flight finish after the direct connection has recovered', async () => {
		const helper = await createHost(() => []);
		const cut = await createHost(() => [helper.address]);
		cut.store.switches.isDown = true;
		await repeat(async () => cut.routed.read({table: 't', part: 'p'}));
		helper.store.switches.delayMs = 1000;
		const commit = catchCode(cut.routed.commit({conditions: [], puts: [], deletes: []}));
		cut.store.switches.isDown = false;
		while (cut.routed.isRelayed) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, 20);
			});
		}

		expect(await commit).to.equal('none');
	});

	it('reports a call as not executed if the relaying host is cut off as well, and tries another host', async () => {
		const helper = await createHost(() => []);
		const lost = await createHost(() => []);
		const cut = await createHost(() => [lost.address, helper.address]);
		for (const {store, routed} of [lost, cut]) {
			store.switches.isDown = true;
			for (let i = 0; i < 5; i += 1) {
				// eslint-disable-next-line no-await-in-loop
				await catchCode(routed.read({table: 't', part: 'p'}));
				// eslint-disable-next-line no-await-in-loop
				await new Promise<void>(resolve => {
					setTimeout(resolve, 80);
				});
			}
		}

		const {rows} = await repeat(async () => cut.routed.read({table: 't', part: 'p'}));
		expect(rows).to.have.length(1);
	});

	it('reports the outcome of a write as unknown if the relaying host does not answer', async () => {
		const helper = await createHost(() => []);
		const cut = await createHost(() => [helper.address]);
		cut.store.switches.isDown = true;
		await repeat(async () => cut.routed.read({table: 't', part: 'p'}));
		helper.store.switches.answersToLose = 1;
		expect(await catchCode(cut.routed.commit({conditions: [], puts: [], deletes: []}))).to.equal('unknown');
		helper.store.switches.delayMs = 60_000;
		const commit = catchCode(cut.routed.commit({conditions: [], puts: [], deletes: []}));
		await new Promise<void>(resolve => {
			setTimeout(resolve, 50);
		});
		helper.close();
		expect(await commit).to.equal('unknown');
	});

	it('rejects calls of a host that does not have the key', async () => {
		const helper = await createHost(() => []);
		const outsider = await createHost(() => [helper.address], () => 'another key');
		outsider.store.switches.isDown = true;
		const before = helper.store.counts.reads;
		for (let i = 0; i < 20; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			expect(await catchCode(outsider.routed.read({table: 't', part: 'p'}))).to.equal('unavailable');
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, 40);
			});
		}

		expect(helper.store.counts.reads).to.equal(before);
	});
});

describe('readLinkKey', () => {
	it('returns to all hosts the key that the first of them wrote', async () => {
		const store = new MemoryRowStore();
		const keys = await Promise.all([readLinkKey(store.createView()), readLinkKey(store.createView()), readLinkKey(store)]);
		expect(new Set(keys).size).to.equal(1);
		expect(keys[0]).to.match(/^[\da-f]{64}$/v);
	});
});
