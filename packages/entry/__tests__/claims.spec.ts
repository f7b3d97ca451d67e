import {expect} from 'chai';
import {HttpServer} from '@wasabiusher/daemon';
import type {Identity} from '@wasabiusher/link';
import type {Member} from '@wasabiusher/backends';
import {createSilentLog, orderByRank, profileSchema} from '@wasabiusher/shared';
import {Invariants, type Call, type CallListener} from '@wasabiusher/systems';
import {Faults, FaultyObjects, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {Claims} from '../src/claims.js';

const names = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];

/** The gatherers, selected in the same way as by the entries. */
const gatherers = orderByRank('commits', names).slice(0, 2);

const [plain, otherKeyEntry] = names.filter(name => !gatherers.includes(name)) as [string, string];

function createCall(id: string): Call {
	return {
		id,
		service: 'ledger',
		work: {
			kind: 'forward', method: 'POST', path: '/postings', headers: {},
		},
		caller: 'clerk',
		profileName: 'posting',
		profile: profileSchema.parse({class: 'interactive', idempotent: false, deadlineMs: 5000}),
		deadlineAt: performance.now() + 5000,
		cost: 1,
		fingerprint: 'tank 7',
	};
}

/** Entries that share one store; two of them commit the claims of all. */
class EntryCluster {
	readonly tables = new FaultyTables(new Faults());
	readonly claims = new Map<string, Claims>();
	readonly servers: HttpServer[] = [];
	readonly members: Member[] = [];
	/** Names of the entries that wrote to the store, in order. */
	readonly writers: string[] = [];
	ran = 0;

	async start(name: string, keys: Identity['keys'] = ['key']): Promise<void> {
		const server = new HttpServer();
		this.servers.push(server);
		this.claims.set(name, new Claims({
			identity: {name, keys},
			server: server.server,
			tables: {
				read: async (table, key) => this.tables.read(table, key),
				scan: async (table, options) => this.tables.scan(table, options),
				transact: async writes => {
					this.writers.push(name);
					return this.tables.transact(writes);
				},
			},
			objects: new FaultyObjects(this.tables.faults),
			dispatcher: {submit: (_call, listener) => this.#run(listener)},
			invariants: new Invariants(createSilentLog()),
			log: createSilentLog(),
			maxDirect: 1,
			listEntries: () => names,
		}));
		this.members.push({
			id: name, role: 'entry', address: await server.listen('127.0.0.1:0'), dataCentre: 'innsbruck-a', region: 'tyrol', state: 'live',
		});
	}

	async link(): Promise<void> {
		for (const claims of this.claims.values()) {
			claims.follow(this.members);
		}

		const proven = names.filter(name => name !== otherKeyEntry).map(name => this.claims.get(name)!);
		for (let tries = 0; tries < 500 && proven.some(({isLinked}) => !isLinked); tries += 1) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, 2);
			});
		}
	}

	/** Resolves to the status, or to the `ran` value and detail of the problem. */
	async post(name: string, key: string): Promise<string> {
		return new Promise(resolve => {
			this.claims.get(name)!.submit(createCall(`${name}/${key}`), key, {
				onEvent(event) {
					if (event.kind === 'head') {
						resolve(String(event.status));
					}
				},
				onRestart: () => false,
				onFailed({ran, detail}) {
					resolve(`${ran}: ${detail}`);
				},
			});
		});
	}

	async stop(): Promise<void> {
		await Promise.all([...this.claims.values()].map(async claims => claims.drain()));
		await Promise.all(this.servers.map(async server => server.kill()));
	}

	#run(listener: CallListener) {
		this.ran += 1;
		setTimeout(() => {
			listener.onEvent({kind: 'head', status: 201, headers: {}}, 1);
			listener.onEvent({kind: 'finished'}, 1);
		}, 1);
		return {cancel: () => undefined};
	}
}

describe('Claims on several entries', () => {
	let cluster: EntryCluster;

	beforeEach(async () => {
		cluster = new EntryCluster();
		for (const name of names) {
			// eslint-disable-next-line no-await-in-loop
			await cluster.start(name, name === otherKeyEntry ? ['another key'] : ['key']);
		}

		await cluster.link();
	});

	afterEach(async () => {
		await cluster.stop();
	});

	it('commits claims through the gatherers, and runs each key once', async () => {
		const answers = await Promise.all([plain, ...gatherers].map(async name => cluster.post(name, 'k')));
		expect(answers).to.deep.equal(['201', '201', '201']);
		expect(cluster.ran).to.equal(1);
		expect(cluster.writers).to.not.be.empty;
		expect(cluster.writers).to.not.include(plain);
	});

	it('commits claims directly if the entry has another link key, or the gatherers have stopped gathering', async () => {
		expect(await cluster.post(otherKeyEntry, 'k')).to.equal('201');
		expect(cluster.writers).to.include(otherKeyEntry);
		await Promise.all([...cluster.claims.values()].map(async claims => claims.stopGathering()));
		const answers = await Promise.all([plain, ...gatherers].map(async name => cluster.post(name, name)));
		expect(answers).to.deep.equal(['201', '201', '201']);
		expect(cluster.writers).to.include(plain);
		expect(cluster.ran).to.equal(4);
	});
});
