import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {createSilentLog} from '@wasabiusher/shared';
import {MemoryTableService} from '@wasabiusher/standins';
import {FenceFloor} from '../src/fence-floor.js';
import {OrderHandler} from '../src/order-handler.js';
import {createLoad, FakeEngine} from './fixtures.js';

describe('OrderHandler', () => {
	let clock: Clock;
	let engine: FakeEngine;
	let tables: MemoryTableService;

	beforeEach(() => {
		// P-queue runs on microtasks, which the fake clock must not hold up.
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		engine = new FakeEngine();
		tables = new MemoryTableService();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createHandler() {
		const events: string[] = [];
		const handler = new OrderHandler({
			engine: engine.asEngine(),
			floor: new FenceFloor(tables, 'models/agent-1'),
			log: createSilentLog(),
			observe(event) {
				events.push(event);
			},
		});
		return {handler, events};
	}

	async function report(handler: OrderHandler): Promise<void> {
		handler.reconcile(await engine.report());
		await clock.tickAsync(0);
	}

	it('executes an order and reports it as done once the engine reports it', async () => {
		const {handler} = createHandler();
		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'done'});
		expect(engine.version).to.equal(2);
	});

	it('waits for a lagging report, and fails an order that never appears in one', async () => {
		const {handler} = createHandler();
		engine.nextOrder = async order => {
			setTimeout(() => {
				engine.putInForce(order);
			}, 1500);
		};

		const late = handler.execute(createLoad(2), 1);
		await clock.tickAsync(2000);
		expect(await late).to.include({outcome: 'done'});
		engine.nextOrder = async () => undefined;
		const never = handler.execute(createLoad(3), 1);
		await clock.tickAsync(4000);
		expect(await never).to.include({outcome: 'failed'});
		expect(engine.version).to.equal(2);
	});

	it('rejects an older fence, even after a restart of the agent', async () => {
		const {handler} = createHandler();
		await handler.execute(createLoad(3), 7);
		expect(await handler.execute(createLoad(2), 6)).to.include({outcome: 'fenced'});
		const restarted = createHandler();
		expect(await restarted.handler.execute(createLoad(2), 6)).to.include({outcome: 'fenced'});
		expect(restarted.events).to.deep.equal(['fenced']);
		expect(engine.version).to.equal(3);
		expect(engine.orders).to.have.lengthOf(1);
	});

	it('executes no order while the fence floor cannot be read', async () => {
		tables.switches.isDown = true;
		const {handler} = createHandler();
		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(engine.orders).to.deep.equal([]);
		tables.switches.isDown = false;
		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'done'});
	});

	it('continues under a known fence while the store is down', async () => {
		const {handler} = createHandler();
		await handler.execute(createLoad(2), 1);
		tables.switches.isDown = true;
		expect(await handler.execute(createLoad(3), 1)).to.include({outcome: 'done'});
		expect(await handler.execute(createLoad(4), 2), 'a new fence must be kept first').to.include({outcome: 'failed'});
	});

	it('resolves a lost response of the store by reading the row again', async () => {
		tables.switches.answersToLose = 1;
		const {handler} = createHandler();
		expect(await handler.execute(createLoad(2), 5)).to.include({outcome: 'done'});
		expect(await createHandler().handler.execute(createLoad(1), 4)).to.include({outcome: 'fenced'});
	});

	it('reports a failed swap and keeps the old version', async () => {
		const {handler} = createHandler();
		engine.nextOrder = async () => {
			throw new PlatformError('refused', 'the swap failed');
		};

		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(engine.version).to.equal(1);
		await report(handler);
		expect(engine.orders, 'nothing is repeated that was never in force').to.have.lengthOf(1);
	});

	it('keeps a paused former lease holder from ordering an engine that ignores fences', async () => {
		const {handler} = createHandler();
		// The response to an order of the old holder is lost; then the holder is paused.
		engine.nextOrder = async () => {
			throw new PlatformError('unknown', 'no answer');
		};

		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(await handler.execute(createLoad(3), 2)).to.include({outcome: 'done'});
		// The old holder resumes and assumes that it still holds the lease.
		expect(await handler.execute(createLoad(2), 1)).to.include({outcome: 'fenced'});
		expect(engine.version).to.equal(3);
	});

	it('repeats the last order only if a late one has changed the engine', async () => {
		const {handler, events} = createHandler();
		await handler.execute(createLoad(3), 2);
		await clock.tickAsync(5000);
		await report(handler);
		expect(engine.orders).to.have.lengthOf(1);
		engine.putInForce(createLoad(2));
		await report(handler);
		expect(engine.version).to.equal(3);
		expect(engine.orders.at(-1)).to.deep.equal({order: createLoad(3), fence: 2});
		expect(events.at(-1)).to.equal('mended');
	});

	it('increases the delay between repetitions while they have no effect', async () => {
		const {handler, events} = createHandler();
		await handler.execute(createLoad(3), 2);
		engine.order = async () => undefined;
		engine.putInForce(createLoad(2));
		for (let seconds = 0; seconds < 60; seconds += 1) {
			// Reports are sequential.
			// eslint-disable-next-line no-await-in-loop
			await report(handler);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1000);
		}

		expect(events.filter(event => event === 'mended')).to.have.lengthOf(5);
	});

	it('unloads a model only when no request for it runs, and accepts requests again if that fails', async () => {
		const steps: string[] = [];
		let isIdle = false;
		const handler = new OrderHandler({
			engine: engine.asEngine(),
			floor: new FenceFloor(tables, 'models/agent-1'),
			log: createSilentLog(),
			async retire(model) {
				steps.push(`retire ${model}`);
				return isIdle;
			},
			restore(model) {
				steps.push(`restore ${model}`);
			},
		});
		const unload = {kind: 'unload', model: 'trail'} as const;
		expect(await handler.execute(unload, 2)).to.include({outcome: 'failed'});
		expect(engine.orders).to.deep.equal([]);
		expect(steps).to.deep.equal(['retire trail', 'restore trail']);
		isIdle = true;
		expect(await handler.execute(unload, 2)).to.include({outcome: 'done'});
		expect(await handler.execute(unload, 1), 'an older holder retires nothing').to.include({outcome: 'fenced'});
		expect(steps).to.deep.equal(['retire trail', 'restore trail', 'retire trail']);
		await handler.execute(createLoad(2), 2);
		expect(steps.at(-1)).to.equal('restore trail');
	});

	it('prefetches without changing the desired state', async () => {
		const {handler} = createHandler();
		await handler.execute(createLoad(2), 1);
		expect(await handler.execute({kind: 'prefetch', model: 'trail', version: 3}, 1)).to.include({outcome: 'done'});
		await clock.tickAsync(5000);
		await report(handler);
		expect(engine.orders).to.have.lengthOf(2);
	});
});
