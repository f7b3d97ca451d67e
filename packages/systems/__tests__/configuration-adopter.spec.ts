import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {ConfigurationHistory} from '@wasabiusher/record';
import {createSilentLog, Random, type Configuration} from '@wasabiusher/shared';
import {Faults, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {ConfigurationAdopter, Invariants, type ConfigurationOutput} from '../src/index.js';

function createConfiguration(count: number): Configuration {
	return {profiles: {}, services: Object.fromEntries(Array.from({length: count}, (_, index) => [`ledger-${index}`, {kind: 'plain'}]))};
}

/** Simulates entries and agents connected by links that can be cut; messages arrive in order, one at a time. */
class Mesh {
	readonly tables = new FaultyTables(new Faults());
	readonly history = new ConfigurationHistory(this.tables);
	readonly adopters = new Map<string, ConfigurationAdopter>();
	readonly links = new Set<string>();
	readonly adopted = new Map<string, number[]>();
	sent: Array<ConfigurationOutput['message']> = [];
	readonly #entries: string[] = [];
	readonly #queue: Array<{from: string; output: ConfigurationOutput}> = [];

	add(name: string, isEntry: boolean): ConfigurationAdopter {
		if (isEntry && !this.#entries.includes(name)) {
			this.#entries.push(name);
		}

		const log = createSilentLog();
		const versions: number[] = [];
		this.adopted.set(name, versions);
		const adopter = new ConfigurationAdopter({
			name,
			dataCentre: 'innsbruck-a',
			log,
			random: new Random(1),
			invariants: new Invariants(log),
			onAdopted({version}) {
				versions.push(version);
			},
			...(isEntry ? {reader: {history: this.history, listEntries: () => this.#entries}} : {}),
		});
		this.adopters.set(name, adopter);
		return adopter;
	}

	connect(a: string, b: string): void {
		this.links.add(`${a} ${b}`);
		this.#push(a, this.adopters.get(a)!.onLinkUp(b));
		this.#push(b, this.adopters.get(b)!.onLinkUp(a));
		this.#deliver();
	}

	cut(a: string, b: string): void {
		this.links.delete(`${a} ${b}`);
		this.adopters.get(a)!.onLinkDown(b);
		this.adopters.get(b)!.onLinkDown(a);
	}

	async tick(): Promise<void> {
		for (const [name, adopter] of this.adopters) {
			// eslint-disable-next-line no-await-in-loop
			this.#push(name, await adopter.tick());
		}

		this.#deliver();
	}

	listVersions(): number[] {
		return [...this.adopters.values()].map(({accepted}) => accepted.version);
	}

	async change(services: number): Promise<void> {
		await this.history.append({configuration: createConfiguration(services), author: 'test', acceptedAt: 1});
	}

	#push(from: string, outputs: ConfigurationOutput[]): void {
		this.#queue.push(...outputs.map(output => ({from, output})));
	}

	#deliver(): void {
		for (let item = this.#queue.shift(); item; item = this.#queue.shift()) {
			const {from, output: {to, message}} = item;
			if (this.links.has(`${from} ${to}`) || this.links.has(`${to} ${from}`)) {
				this.sent.push(message);
				this.#push(to, this.adopters.get(to)!.receive(from, structuredClone(message)));
			}
		}
	}
}

/** Creates entries and agents linked in a ring, in which each process has links to two others. */
function createRing(entries: number): Mesh {
	const mesh = new Mesh();
	for (let i = 0; i < entries; i += 1) {
		mesh.add(`entry-${i}`, true);
		mesh.add(`agent-${i}`, false);
	}

	for (let i = 0; i < entries; i += 1) {
		mesh.connect(`entry-${i}`, `agent-${i}`);
		mesh.connect(`entry-${i}`, `agent-${(i + 1) % entries}`);
	}

	return mesh;
}

describe('ConfigurationAdopter', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('adopts a change in every process, sent as deltas', async () => {
		const mesh = createRing(10);
		await mesh.change(40);
		await mesh.tick();
		expect(new Set(mesh.listVersions())).to.deep.equal(new Set([1]));
		await clock.tickAsync(1000);
		mesh.sent = [];
		await mesh.change(41);
		await mesh.tick();
		expect(new Set(mesh.listVersions())).to.deep.equal(new Set([2]));
		expect(mesh.sent.filter(({kind}) => kind === 'configuration')).to.be.empty;
		const deltas = mesh.sent.filter(({kind}) => kind === 'configuration-delta');
		expect(deltas.length).to.be.within(1, 20);
		expect(Object.keys((deltas[0] as {delta: {services: Record<string, unknown>}}).delta.services)).to.deep.equal(['ledger-40']);
	});

	it('reads the record in only a few entries of a data centre once they are ready', async () => {
		const mesh = createRing(10);
		await mesh.change(1);
		await mesh.tick();
		const before = mesh.tables.faults.reads;
		await mesh.tick();
		expect(mesh.tables.faults.reads - before).to.equal(3);
	});

	it('adopts the highest version of its peers when it starts without the store', async () => {
		const mesh = createRing(3);
		await mesh.change(1);
		await mesh.tick();
		mesh.tables.faults.standing = 'down';
		const late = mesh.add('entry-late', true);
		await mesh.tick();
		expect(late.isReady).to.be.false;
		mesh.connect('entry-late', 'agent-0');
		expect([late.isReady, late.accepted.version]).to.deep.equal([true, 1]);
		await mesh.tick();
		expect(late.describe().isStoreReachable).to.be.false;
	});

	it('sends the full configuration once to a process that starts', async () => {
		const mesh = createRing(3);
		await mesh.change(1);
		await mesh.tick();
		mesh.sent = [];
		mesh.add('agent-late', false);
		mesh.connect('entry-0', 'agent-late');
		expect(mesh.sent.map(({kind}) => kind)).to.deep.equal(['digest', 'digest', 'configuration']);
	});

	it('never adopts a lower version, from a peer or from a store that was reset', async () => {
		const mesh = createRing(2);
		await mesh.change(1);
		const old = await mesh.history.readHead();
		await mesh.change(2);
		await mesh.tick();
		mesh.adopters.get('entry-0')!.receive('agent-0', {kind: 'configuration', accepted: old});
		mesh.tables.rows.clear();
		await mesh.tick();
		expect(mesh.listVersions()).to.deep.equal([2, 2, 2, 2]);
	});

	it('requests the full configuration when a delta cannot be applied', () => {
		const mesh = createRing(2);
		const adopter = mesh.adopters.get('entry-0')!;
		const delta = {
			from: 4, version: 5, hash: '', profiles: {}, services: {}, gone: {profiles: [], services: []}, acceptedAt: 1, author: 'test',
		};
		const outputs = adopter.receive('agent-0', {kind: 'configuration-delta', delta});
		expect(outputs).to.deep.equal([{to: 'agent-0', message: {kind: 'digest', configurationVersion: 0}}]);
		expect(adopter.accepted.version).to.equal(0);
	});

	it('keeps its version in a partition without the store, and catches up afterwards', async () => {
		const mesh = new Mesh();
		for (const name of ['entry-0', 'entry-1', 'agent-0', 'agent-1']) {
			mesh.add(name, name.startsWith('entry'));
		}

		mesh.connect('entry-0', 'agent-0');
		mesh.connect('entry-1', 'agent-0');
		mesh.connect('entry-1', 'agent-1');
		await mesh.change(1);
		await mesh.tick();
		mesh.cut('entry-1', 'agent-0');
		await mesh.change(2);
		mesh.tables.faults.standing = 'down';
		await mesh.tick();
		expect(mesh.listVersions()).to.deep.equal([1, 1, 1, 1]);
		expect(mesh.adopters.get('entry-1')!.isReady).to.be.true;
		mesh.tables.faults.standing = 'none';
		await mesh.tick();
		expect(mesh.listVersions()).to.deep.equal([2, 2, 2, 2]);
	});

	it('never goes back and converges, despite cut links, outages and restarts', async () => {
		const action = fc.record({
			kind: fc.constantFrom('cut', 'connect', 'down', 'up', 'change', 'lost', 'restart', 'tick'),
			at: fc.integer({min: 0, max: 4}),
		});
		await fc.assert(fc.asyncProperty(fc.array(action, {maxLength: 30}), async actions => {
			const mesh = createRing(5);
			let services = 0;
			const handlers: Record<string, (at: number) => Promise<void> | void> = {
				cut(at) {
					mesh.cut(`entry-${at}`, `agent-${at}`);
				},
				connect(at) {
					mesh.connect(`entry-${at}`, `agent-${at}`);
				},
				down() {
					mesh.tables.faults.standing = 'down';
				},
				up() {
					mesh.tables.faults.standing = 'none';
				},
				async change() {
					// Some changes remove services.
					services = services === 3 ? 1 : services + 1;
					await mesh.change(services).catch(() => undefined);
				},
				lost() {
					mesh.tables.faults.next = ['lost-after'];
				},
				async restart(at) {
					mesh.cut(`entry-${at}`, `agent-${at}`);
					mesh.add(`agent-${at}`, false);
					mesh.connect(`entry-${at}`, `agent-${at}`);
				},
				tick: async () => mesh.tick(),
			};
			for (const {kind, at} of actions) {
				// eslint-disable-next-line no-await-in-loop
				await handlers[kind]!(at);
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(300);
			}

			mesh.tables.faults.standing = 'none';
			for (let i = 0; i < 12; i += 1) {
				// eslint-disable-next-line no-await-in-loop
				await mesh.tick();
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(1000);
			}

			const head = await mesh.history.readHead();
			const isCutOff = (name: string) => ![...mesh.links].some(link => link.split(' ').includes(name));
			for (const [name, {accepted}] of mesh.adopters) {
				if (!isCutOff(name)) {
					expect(accepted).to.deep.equal(head);
				}

				const versions = mesh.adopted.get(name)!;
				expect(versions).to.deep.equal([...versions].toSorted((a, b) => a - b));
			}
		}), {numRuns: 60, seed: 1});
	});
});
