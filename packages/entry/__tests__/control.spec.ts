import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {EndpointStatus, Message, MessageOf} from '@wasabiusher/link';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryTableService, MemoryWeightStore} from '@wasabiusher/standins';
import {createControl, type Control, type KnownEndpoint} from '../src/control.js';

function createStatus(service: string, version?: number): EndpointStatus {
	return {
		service,
		models: version === undefined ? [] : [{model: 'trail', version}],
		role: 'any',
		limit: 8,
		running: 0,
		waiting: 0,
		waitingWork: 0,
		workPerSecond: 1,
		isLeaving: false,
		isHealthy: true,
		configurationVersion: 1,
		fence: 0,
	};
}

/** Pending result of a store operation while the process is cut off from the store. */
const never = new Promise<never>(() => {
	// It never settles.
});

/** Two engines and a plain service. Orders take effect immediately and are rejected under a lower fencing token. */
class FakeEndpoints {
	readonly rows = new Map<string, KnownEndpoint>([
		['engine-0', {id: 'engine-0', isUp: true, status: createStatus('models', 1)}],
		['engine-1', {id: 'engine-1', isUp: true, status: createStatus('models', 1)}],
		['ledger-0', {id: 'ledger-0', isUp: true, status: createStatus('ledger')}],
	]);

	readonly fences = new Map<string, number>();
	readonly outcomes: string[] = [];

	get versions(): number[] {
		return [...this.rows.values()].flatMap(({status}) => status!.models.map(({version}) => version));
	}

	carryOut(agent: string, message: Message, answer: (message: Message) => void): boolean {
		const {order, fence, body} = message as MessageOf<'order'>;
		const isFenced = fence < (this.fences.get(agent) ?? 0);
		this.outcomes.push(`${agent} ${fence} ${isFenced ? 'fenced' : 'done'}`);
		if (!isFenced) {
			this.fences.set(agent, fence);
		}

		if (!isFenced && body.kind === 'load') {
			this.rows.set(agent, {id: agent, isUp: true, status: createStatus('models', body.version)});
		}

		setTimeout(() => {
			answer({
				kind: 'ordered', order, outcome: isFenced ? 'fenced' : 'done', detail: '',
			});
		}, 10);
		return true;
	}
}

describe('Control', () => {
	let clock: Clock;
	let tables: MemoryTableService;
	let weights: MemoryWeightStore;
	let endpoints: FakeEndpoints;

	beforeEach(() => {
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		tables = new MemoryTableService();
		weights = new MemoryWeightStore();
		endpoints = new FakeEndpoints();
		weights.publish('trail', 2);
	});

	afterEach(() => {
		clock.uninstall();
	});

	function startControl(name: string, seed: number, entries?: readonly string[]): Control {
		const control: Control = createControl({
			name,
			tables,
			weights,
			random: new Random(seed),
			log: createSilentLog(),
			listEntries: entries && (() => entries),
			listEndpoints: () => endpoints.rows.values(),
			send: (agent, message) => endpoints.carryOut(agent, message, answer => {
				control.onMessage(agent, answer);
			}),
		});
		control.start();
		return control;
	}

	it('lets one of several entries roll out a new version to all engines', async () => {
		const controls = [startControl('entry-1', 1), startControl('entry-2', 2)];
		await clock.tickAsync(17_000);
		expect(endpoints.versions).to.deep.equal([2, 2]);
		expect(controls.filter(control => control.describe().length === 1)).to.have.lengthOf(1);
		expect(endpoints.outcomes, 'a fetch and a swap each').to.have.lengthOf(4);
	});

	it('lets only a few entries of a data centre compete for the lease, to bound reads of the store', async () => {
		const names = Array.from({length: 20}, (_, index) => `entry-${index}`);
		const controls = names.map((name, index) => startControl(name, index, names));
		await clock.tickAsync(17_000);
		expect(endpoints.versions).to.deep.equal([2, 2]);
		// Three candidates at about one read every 2 s.
		expect(tables.gate.counts.reads).to.be.at.most(3 * 12);
		await Promise.all(controls.map(async control => control.stop()));
	});

	it('continues at another entry under a higher fencing token after the lease holder has stopped', async () => {
		const first = startControl('entry-1', 1);
		await clock.tickAsync(5000);
		const second = startControl('entry-2', 2);
		await first.stop();
		weights.publish('trail', 3);
		await clock.tickAsync(17_000);
		expect(endpoints.versions).to.deep.equal([3, 3]);
		expect(endpoints.fences.get('engine-0')).to.equal(2);
		expect(second.describe()[0]).to.include({model: 'trail', version: 3, isDone: true});
		expect(first.describe()).to.deep.equal([]);
	});

	it('continues at another entry after the lease holder has died', async () => {
		let isCut = false;
		const dead = createControl({
			name: 'entry-1',
			tables: {
				read: async (...given) => isCut ? never : tables.read(...given),
				scan: async (...given) => tables.scan(...given),
				transact: async (...given) => isCut ? never : tables.transact(...given),
			},
			weights,
			random: new Random(1),
			log: createSilentLog(),
			listEndpoints: () => endpoints.rows.values(),
			send: (agent, message) => endpoints.carryOut(agent, message, answer => {
				dead.onMessage(agent, answer);
			}),
		});
		dead.start();
		await clock.tickAsync(5000);
		isCut = true;
		weights.publish('trail', 3);
		startControl('entry-2', 2);
		await clock.tickAsync(30_000);
		expect(endpoints.versions).to.deep.equal([3, 3]);
		expect(dead.describe(), 'its lease has lapsed').to.deep.equal([]);
	});

	it('sends no orders while the store is down and the lease has expired, and resumes afterwards', async () => {
		startControl('entry-1', 1);
		await clock.tickAsync(5000);
		tables.switches.isDown = true;
		await clock.tickAsync(10_000);
		const count = endpoints.outcomes.length;
		weights.publish('trail', 3);
		await clock.tickAsync(10_000);
		expect(endpoints.outcomes).to.have.lengthOf(count);
		tables.switches.isDown = false;
		await clock.tickAsync(30_000);
		expect(endpoints.versions).to.deep.equal([3, 3]);
	});

	it('sends no orders to plain services and leaves no timer behind', async () => {
		const control = startControl('entry-1', 1);
		await clock.tickAsync(5000);
		await control.stop();
		await clock.tickAsync(1000);
		expect(endpoints.outcomes.filter(outcome => outcome.startsWith('ledger'))).to.deep.equal([]);
		expect(clock.countTimers()).to.equal(0);
	});
});
