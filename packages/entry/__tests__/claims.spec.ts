import {expect} from 'chai';
import {HttpServer} from '@wasabiusher/daemon';
import type {Identity} from '@wasabiusher/link';
import type {Member} from '@wasabiusher/backends';
import {createSilentLog, orderByRank, profileSchema} from '@wasabiusher/shared';
import {Invariants, type Call, type CallListener} from '@wasabiusher/systems';
import {Faults, FaultyObjects, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {Claims} from '../src/claims.js';

const names = ['entry-0', 'entry-1', 'entry-2', 'entry-3'];

/** As the entries choose them. */
const gatherers = orderByRank('commits', names).slice(0, 2);

const [plain, stranger] = names.filter(name => !gatherers.includes(name)) as [string, string];

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

/** Entries over one store, whose claims are gathered by two of them. */
class Town {
	readonly tables = new FaultyTables(new Faults());
	readonly claims = new Map<string, Claims>();
	readonly servers: HttpServer[] = [];
	readonly members: Member[] = [];
	/** Entries that wrote, in order. */
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

		const proven = names.filter(name => name !== stranger).map(name => this.claims.get(name)!);
		for (let looks = 0; looks < 500 && proven.some(({isLinked}) => !isLinked); looks += 1) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, 2);
			});
		}
	}

	/** Resolves to the status, or to what is said of the run. */
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

describe('Claims of several entries', () => {
	let town: Town;

	beforeEach(async () => {
		town = new Town();
		for (const name of names) {
			// eslint-disable-next-line no-await-in-loop
			await town.start(name, name === stranger ? ['another key'] : ['key']);
		}

		await town.link();
	});

	afterEach(async () => {
		await town.stop();
	});

	it('are gathered over links, and each key runs once', async () => {
		const answers = await Promise.all([plain, ...gatherers].map(async name => town.post(name, 'k')));
		expect(answers).to.deep.equal(['201', '201', '201']);
		expect(town.ran).to.equal(1);
		expect(town.writers).to.not.be.empty;
		expect(town.writers).to.not.include(plain);
	});

	it('are committed by an entry itself when it can not prove the key, or gatherers have left', async () => {
		expect(await town.post(stranger, 'k')).to.equal('201');
		expect(town.writers).to.include(stranger);
		await Promise.all([...town.claims.values()].map(async claims => claims.stopGathering()));
		const answers = await Promise.all([plain, ...gatherers].map(async name => town.post(name, name)));
		expect(answers).to.deep.equal(['201', '201', '201']);
		expect(town.writers).to.include(plain);
		expect(town.ran).to.equal(4);
	});
});
