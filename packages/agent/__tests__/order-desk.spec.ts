import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError} from '@wasabiusher/backends';
import {createSilentLog} from '@wasabiusher/shared';
import {MemoryTableService} from '@wasabiusher/standins';
import {FenceFloor} from '../src/fence-floor.js';
import {OrderDesk} from '../src/order-desk.js';
import {createLoad, OrderedEngine} from './fixtures.js';

describe('order desk', () => {
	let clock: Clock;
	let engine: OrderedEngine;
	let tables: MemoryTableService;

	beforeEach(() => {
		// P-queue goes on in microtasks, which are no matter of time.
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		engine = new OrderedEngine();
		tables = new MemoryTableService();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function createDesk() {
		const events: string[] = [];
		const desk = new OrderDesk({
			engine: engine.asEngine(),
			floor: new FenceFloor(tables, 'models/agent-1'),
			log: createSilentLog(),
			observe(event) {
				events.push(event);
			},
		});
		return {desk, events};
	}

	async function report(desk: OrderDesk): Promise<void> {
		desk.compare(await engine.report());
		await clock.tickAsync(0);
	}

	it('carries out an order and says so once the engine reports it', async () => {
		const {desk} = createDesk();
		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'done'});
		expect(engine.version).to.equal(2);
	});

	it('waits for a report that lags, and calls an order failed that never shows', async () => {
		const {desk} = createDesk();
		engine.nextOrder = async order => {
			setTimeout(() => {
				engine.putInForce(order);
			}, 1500);
		};

		const late = desk.execute(createLoad(2), 1);
		await clock.tickAsync(2000);
		expect(await late).to.include({outcome: 'done'});
		engine.nextOrder = async () => undefined;
		const never = desk.execute(createLoad(3), 1);
		await clock.tickAsync(4000);
		expect(await never).to.include({outcome: 'failed'});
		expect(engine.version).to.equal(2);
	});

	it('refuses an older fence, also after a restart of the agent', async () => {
		const {desk} = createDesk();
		await desk.execute(createLoad(3), 7);
		expect(await desk.execute(createLoad(2), 6)).to.include({outcome: 'fenced'});
		const restarted = createDesk();
		expect(await restarted.desk.execute(createLoad(2), 6)).to.include({outcome: 'fenced'});
		expect(restarted.events).to.deep.equal(['fenced']);
		expect(engine.version).to.equal(3);
		expect(engine.orders).to.have.lengthOf(1);
	});

	it('carries out nothing while it can not learn the floor', async () => {
		tables.switches.isDown = true;
		const {desk} = createDesk();
		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(engine.orders).to.deep.equal([]);
		tables.switches.isDown = false;
		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'done'});
	});

	it('goes on under a known fence while the store is down', async () => {
		const {desk} = createDesk();
		await desk.execute(createLoad(2), 1);
		tables.switches.isDown = true;
		expect(await desk.execute(createLoad(3), 1)).to.include({outcome: 'done'});
		expect(await desk.execute(createLoad(4), 2), 'a new fence must be kept first').to.include({outcome: 'failed'});
	});

	it('settles a lost answer of the store by reading', async () => {
		tables.switches.answersToLose = 1;
		const {desk} = createDesk();
		expect(await desk.execute(createLoad(2), 5)).to.include({outcome: 'done'});
		expect(await createDesk().desk.execute(createLoad(1), 4)).to.include({outcome: 'fenced'});
	});

	it('takes a failed swap for failed and goes on with the old version', async () => {
		const {desk} = createDesk();
		engine.nextOrder = async () => {
			throw new PlatformError('refused', 'the swap failed');
		};

		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(engine.version).to.equal(1);
		await report(desk);
		expect(engine.orders, 'nothing is repeated that was never in force').to.have.lengthOf(1);
	});

	it('holds a paused holder that resumes off an engine that ignores fences', async () => {
		const {desk} = createDesk();
		// The old holder's order is under way to the engine when its answer is lost; then the holder is paused.
		engine.nextOrder = async () => {
			throw new PlatformError('unknown', 'no answer');
		};

		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'failed'});
		expect(await desk.execute(createLoad(3), 2)).to.include({outcome: 'done'});
		// It resumes and believes that it still holds the lease.
		expect(await desk.execute(createLoad(2), 1)).to.include({outcome: 'fenced'});
		expect(engine.version).to.equal(3);
	});

	it('mends an engine on which a late order has landed, and only then', async () => {
		const {desk, events} = createDesk();
		await desk.execute(createLoad(3), 2);
		await clock.tickAsync(5000);
		await report(desk);
		expect(engine.orders).to.have.lengthOf(1);
		engine.putInForce(createLoad(2));
		await report(desk);
		expect(engine.version).to.equal(3);
		expect(engine.orders.at(-1)).to.deep.equal({order: createLoad(3), fence: 2});
		expect(events.at(-1)).to.equal('mended');
	});

	it('waits longer each time while mending does not help', async () => {
		const {desk, events} = createDesk();
		await desk.execute(createLoad(3), 2);
		engine.order = async () => undefined;
		engine.putInForce(createLoad(2));
		for (let seconds = 0; seconds < 60; seconds += 1) {
			// Reports follow one another.
			// eslint-disable-next-line no-await-in-loop
			await report(desk);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1000);
		}

		expect(events.filter(event => event === 'mended')).to.have.lengthOf(5);
	});

	it('unloads a model only when nothing runs for it, and takes work for it again if that fails', async () => {
		const steps: string[] = [];
		let isIdle = false;
		const desk = new OrderDesk({
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
		expect(await desk.execute(unload, 2)).to.include({outcome: 'failed'});
		expect(engine.orders).to.deep.equal([]);
		expect(steps).to.deep.equal(['retire trail', 'restore trail']);
		isIdle = true;
		expect(await desk.execute(unload, 2)).to.include({outcome: 'done'});
		expect(await desk.execute(unload, 1), 'an older holder retires nothing').to.include({outcome: 'fenced'});
		expect(steps).to.deep.equal(['retire trail', 'restore trail', 'retire trail']);
		await desk.execute(createLoad(2), 2);
		expect(steps.at(-1)).to.equal('restore trail');
	});

	it('fetches ahead without changing what is wanted', async () => {
		const {desk} = createDesk();
		await desk.execute(createLoad(2), 1);
		expect(await desk.execute({kind: 'prefetch', model: 'trail', version: 3}, 1)).to.include({outcome: 'done'});
		await clock.tickAsync(5000);
		await report(desk);
		expect(engine.orders).to.have.lengthOf(2);
	});
});
