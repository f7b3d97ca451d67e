import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {defaultPolicy} from '@wasabiusher/decisions';
import {Log} from '@wasabiusher/shared';
import {WeightOrders} from '../src/index.js';
import {createBench, type Bench} from './fixtures.js';

describe('WeightOrders', () => {
	let clock: Clock;
	let bench: Bench;
	let lease: {fence: number; isHeld: boolean; holds(): boolean};
	let orders: WeightOrders;

	beforeEach(() => {
		clock = install();
		bench = createBench(6);
		lease = {
			fence: 5, isHeld: true, holds() {
				return this.isHeld;
			},
		};
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue',
		});
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function tickFor(ms: number, check?: () => void): Promise<void> {
		for (let i = 0; i < ms / 50; i += 1) {
			orders.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(50);
			check?.();
		}
	}

	function countOrders(): number {
		return bench.endpoints.reduce((sum, endpoint) => sum + endpoint.orders.length, 0);
	}

	it('brings every endpoint to a published version once, a fraction of them at a time', async () => {
		orders.publish('m', 2);
		await tickFor(6000, () => {
			expect(bench.endpoints.filter(({isBusy}) => isBusy).length).to.be.at.most(2);
		});
		expect(bench.endpoints.map(({version}) => version)).to.deep.equal([2, 2, 2, 2, 2, 2]);
		expect(countOrders()).to.equal(6);
	});

	it('sends no order to a service that the configuration does not name, and no second one to an address of a different server', async () => {
		const [template] = bench.directory.list();
		bench.directory.put({
			...template!, id: 'x', service: 'other', address: 'a9',
		});
		bench.directory.put({...template!, id: 'y', address: 'a8'});
		bench.serving.add('a8', 'z');
		const unserved = bench.serving.add('a9', 'x');
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue', isServed: service => service === 's',
		});
		orders.publish('m', 2);
		await tickFor(6000);
		expect(unserved.orders).to.have.length(0);
		expect(bench.directory.get('y')).to.equal(undefined);
		expect(bench.endpoints.map(({version}) => version)).to.deep.equal([2, 2, 2, 2, 2, 2]);
	});

	it('sends no order that may arrive after the lease has lapsed, where endpoints check no fence', async () => {
		let leftMs = 700;
		const lapsing = {fence: 5, holds: (roomMs = 0) => roomMs < leftMs};
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease: lapsing, holder: 'a', log: bench.log, chooseMode: () => 'continue', orderMarginMs: 1000,
		});
		orders.publish('m', 2);
		await tickFor(2000);
		expect(countOrders()).to.equal(0);
		leftMs = 2700;
		await tickFor(6000);
		expect(countOrders()).to.equal(6);
	});

	it('sends no order without a fence when the lease lapses between two checks', async () => {
		let fenceReads = 0;
		const unstable = {
			get fence() {
				fenceReads += 1;
				return fenceReads % 2 === 0 ? 5 : 0;
			},
			holds: () => true,
		};
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease: unstable, holder: 'a', log: bench.log, chooseMode: () => 'continue',
		});
		orders.publish('m', 2);
		await tickFor(8000);
		expect(bench.endpoints.flatMap(endpoint => endpoint.orders.map(({fence}) => fence))).not.to.include(0);
		expect(countOrders()).to.equal(6);
	});

	it('keeps one endpoint of each model from loading, where several models share the endpoints', async () => {
		bench = createBench(6, ['a', 'b', 'c']);
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue',
		});
		for (const model of ['a', 'b', 'c']) {
			orders.publish(model, 2);
		}

		const loaded = new Map<string, Set<string>>();
		await tickFor(8000, () => {
			const busy = bench.endpoints.filter(({isBusy}) => isBusy).map(({orders: given}) => given.at(-1)!.model);
			expect(new Set(busy).size).to.equal(busy.length);
			for (const {id, orders: given} of bench.endpoints) {
				for (const {model} of given) {
					loaded.set(model, (loaded.get(model) ?? new Set()).add(id));
				}
			}
		});
		expect([...loaded.values()].map(({size}) => size)).to.deep.equal([2, 2, 2]);
	});

	it('keeps half of the endpoints from loading while reports lag', async () => {
		bench = createBench(2);
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue',
		});
		for (const {switches} of bench.endpoints) {
			switches.reportLagMs = 300;
		}

		orders.publish('m', 2);
		await tickFor(5000, () => {
			expect(bench.endpoints.filter(({isBusy}) => isBusy).length).to.be.at.most(1);
		});
		expect(bench.endpoints.map(({version}) => version)).to.deep.equal([2, 2]);
		expect(countOrders()).to.equal(2);
	});

	it('lets the step after a publication fill the slots before any endpoint loads', async () => {
		orders.publish('m', 2);
		await tickFor(250);
		expect(countOrders()).to.equal(0);
		await tickFor(250);
		expect(countOrders()).to.equal(2);
	});

	it('delays loads while generations wait to begin, except those that must finish before the next version', async () => {
		let waiting = 0;
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue', findWaiting: () => waiting,
		});
		orders.publish('m', 2);
		await tickFor(8000);
		const before = countOrders();
		orders.publish('m', 3);
		waiting = 10;
		await tickFor(1000);
		expect(countOrders()).to.equal(before);
		waiting = 0;
		await tickFor(100);
		expect(countOrders()).to.be.greaterThan(before);
		await tickFor(6000);
		waiting = 10;
		orders.publish('m', 4);
		await tickFor(8000);
		expect(bench.endpoints.map(({version}) => version)).to.deep.equal([4, 4, 4, 4, 4, 4]);
	});

	it('does not delay the load of an endpoint that is more than a version behind and can not run the waiting generations', async () => {
		let waiting = 0;
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue', findWaiting: () => waiting,
		});
		orders.publish('m', 2);
		await tickFor(10_000);
		const before = countOrders();
		waiting = 10;
		const [first] = bench.endpoints;
		first!.version = 1;
		const endpoint = bench.directory.get(first!.id)!;
		bench.directory.put({...endpoint, bornMs: 100});
		bench.directory.put({...endpoint, bornMs: 200, models: [{model: 'm', version: 1}]});
		orders.publish('m', 3);
		await tickFor(500);
		expect([first!.orders.at(-1)!.version, countOrders()]).to.deep.equal([3, before + 1]);
	});

	it('keeps model assignments when a published version is loaded nowhere yet', async () => {
		bench = createBench(6, ['a', 'b']);
		const lines: string[] = [];
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', chooseMode: () => 'continue',
			log: new Log('t', 'info', line => {
				lines.push(line);
			}),
		});
		await tickFor(100);
		const first = lines.filter(line => line.includes('event=endpoint_placed')).length;
		orders.publish('a', 2);
		await tickFor(100);
		expect([first, lines.filter(line => line.includes('event=endpoint_placed')).length]).to.deep.equal([6, 6]);
	});

	it('orders all endpoints at once if the policy says so', async () => {
		bench = createBench(6, ['a', 'b', 'c']);
		orders = new WeightOrders({
			directory: bench.directory, client: bench.client, lease, holder: 'a', log: bench.log, chooseMode: () => 'continue', policy: {...defaultPolicy, loadDelayMs: 0, staggersLoads: false},
		});
		orders.publish('a', 2);
		await tickFor(100);
		expect(bench.endpoints.filter(({isBusy}) => isBusy)).to.have.length(2);
		await tickFor(3000);
		expect(countOrders()).to.equal(2);
	});

	it('sends no order without the lease', async () => {
		lease.isHeld = false;
		orders.publish('m', 2);
		await tickFor(2000);
		expect(countOrders()).to.equal(0);
	});

	it('skips a version that a newer one has superseded, and never returns to an older one', async () => {
		orders.publish('m', 3);
		orders.publish('m', 2);
		await tickFor(6000);
		expect(bench.endpoints.map(({version}) => version)).to.deep.equal([3, 3, 3, 3, 3, 3]);
	});

	it('has no effect by an order that is executed late, after a newer one', async () => {
		const [endpoint] = bench.endpoints;
		endpoint!.switches.ordersToDelay = 1;
		endpoint!.switches.lateMs = 5000;
		orders.publish('m', 2);
		await tickFor(2500);
		orders.publish('m', 3);
		await tickFor(10_000);
		expect(endpoint!.version).to.equal(3);
		expect(endpoint!.orderCount).to.equal(2);
	});

	it('has no effect by an order of a holder that was suspended between its check and its order, at endpoints that check no fence', async () => {
		const [endpoint] = bench.endpoints;
		endpoint!.switches.ordersToDelay = 1;
		endpoint!.switches.lateMs = 4000;
		orders.publish('m', 2);
		await tickFor(600);
		expect(endpoint!.orders).to.have.length(0);
		lease.isHeld = false;
		const next = new WeightOrders({
			directory: bench.directory, client: bench.client, lease: {fence: 6, holds: () => true}, holder: 'b', log: bench.log, chooseMode: () => 'continue',
		});
		next.publish('m', 3);
		for (let i = 0; i < 200; i += 1) {
			next.tick();
			orders.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(50);
		}

		expect(endpoint!.orders.map(({holder, version}) => `${holder}${version}`)).to.include('a2');
		expect([endpoint!.version, endpoint!.orderCount]).to.deep.equal([3, 1]);
	});

	it('sends no order if the lease lapses while it reads the report', async () => {
		const {report} = bench.client;
		bench.client.report = async target => {
			const answer = await report.call(bench.serving, target);
			lease.isHeld = false;
			return answer;
		};

		orders.publish('m', 2);
		await tickFor(2000);
		expect(countOrders()).to.equal(0);
	});

	it('repeats an order that was not taken, with the same condition', async () => {
		for (const {switches} of bench.endpoints) {
			switches.ordersToDelay = 1;
			switches.lateMs = 60_000;
		}

		orders.publish('m', 2);
		await tickFor(10_000);
		expect(bench.endpoints.every(({version}) => version === 2)).to.equal(true);
		expect(bench.endpoints.every(({orders: [order]}) => order!.expectedOrders === 0 && order!.fence === 5)).to.equal(true);
	});
});
