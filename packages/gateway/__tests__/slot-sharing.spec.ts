import {expect} from 'chai';
import type {LiveHost} from '@wasabiusher/batches';
import {HttpServer} from '@wasabiusher/daemon';
import {EndpointDirectory} from '@wasabiusher/direct';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryRowStore} from '@wasabiusher/standins';
import {PeerServer} from '../src/peer-server.js';
import {SlotSharing} from '../src/slot-sharing.js';
import {StoreCircuitBreaker} from '../src/store-circuit-breaker.js';

type Host = {sharing: SlotSharing; address: string; close(): Promise<void>};

const endpoints = Array.from({length: 8}, (_, i) => `i${i}`);

describe('SlotSharing', () => {
	let hosts: Host[];
	let live: LiveHost[];

	beforeEach(() => {
		hosts = [];
		live = [];
	});

	afterEach(async () => {
		await Promise.all(hosts.map(async host => host.close()));
	});

	async function createHost(name: string): Promise<Host> {
		const log = createSilentLog();
		const random = new Random(hosts.length + 1);
		const directory = new EndpointDirectory(random);
		for (const id of endpoints) {
			directory.put({
				id, service: 's', address: id, dataCentre: 'd', slots: 6, isDraining: false, models: [], orderCount: 0, coldMs: 0,
			});
		}

		const findKey = () => 'key';
		const sharing = new SlotSharing({
			host: name, directory, random, log, findKey, listHosts: () => live,
		});
		const http = new HttpServer();
		const server = new PeerServer(http.server, {
			host: name, breaker: new StoreCircuitBreaker(new MemoryRowStore()), log, findKey, slotSharing: sharing,
		});
		const address = await http.listen('127.0.0.1:0');
		const host: Host = {
			sharing,
			address,
			async close() {
				sharing.close();
				server.close();
				await http.close();
			},
		};
		hosts.push(host);
		live.push({
			host: name, address, incarnation: name, dataCentre: 'd', cores: 1, isResting: false, lateMs: 0, silentMs: 0,
		});
		return host;
	}

	/** Ticks all hosts until a condition holds; bounded by the timeout of the test. */
	async function wait(isDone: () => boolean): Promise<void> {
		while (!isDone()) {
			for (const {sharing} of hosts) {
				sharing.tick();
			}

			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, 10);
			});
		}
	}

	function wantAll(count: number): void {
		for (const {sharing} of hosts) {
			for (const endpoint of endpoints) {
				sharing.client.updateDemand({endpoint, filled: 0, wants: [{urgency: 1, dueInMs: 100, count}]});
			}
		}
	}

	function sumLimits(endpoint: string): number {
		return hosts.reduce((sum, {sharing}) => sum + (sharing.client.findLimit(endpoint) ?? 100), 0);
	}

	it('divides the slots of each endpoint among all hosts by one coordinator, over links that are opened on demand', async () => {
		for (const name of ['a', 'b', 'c']) {
			// eslint-disable-next-line no-await-in-loop
			await createHost(name);
		}

		wantAll(4);
		await wait(() => hosts.every(({sharing}) => sharing.client.counts.rations >= endpoints.length));
		expect(endpoints.map(endpoint => sumLimits(endpoint))).to.deep.equal(endpoints.map(() => 6));
		expect(hosts.reduce((sum, {sharing}) => sum + sharing.coordinator.size, 0)).to.equal(endpoints.length);
		expect(Math.max(...hosts.map(({sharing}) => sharing.links.size))).to.be.at.most(2);
	});

	it('falls back to local observations when a coordinator dies, and to another coordinator once the death is known', async () => {
		const first = await createHost('a');
		const second = await createHost('b');
		wantAll(4);
		await wait(() => hosts.every(({sharing}) => sharing.client.counts.rations >= endpoints.length));
		expect(second.sharing.coordinator.size).to.be.below(endpoints.length);
		await first.close();
		hosts = [second];
		const isFree = (endpoint: string) => second.sharing.client.findLimit(endpoint) === undefined;
		await wait(() => endpoints.some(endpoint => isFree(endpoint)));
		live = live.filter(({host}) => host === 'b');
		await wait(() => {
			wantAll(4);
			return second.sharing.coordinator.size === endpoints.length;
		});
		expect(endpoints.some(endpoint => isFree(endpoint))).to.equal(false);
	});
});
