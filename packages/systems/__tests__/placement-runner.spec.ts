import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {EndpointStatus, MessageOf} from '@wasabiusher/link';
import {createSilentLog} from '@wasabiusher/shared';
import {
	PlacementRunner, type ControlledEndpoint, type ModelDemand, type OrderLease,
} from '../src/index.js';

/** Duration of an order, in milliseconds. */
const orderMs = 2000;

const versions = new Map([['hazard', 4], ['route', 7]]);

function createStatus(models: Array<{model: string; version: number}>): EndpointStatus {
	return {
		service: 'models',
		models,
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

describe('PlacementRunner', () => {
	let clock: Clock;
	let endpoints: ControlledEndpoint[];
	let orders: Array<{agent: string; body: MessageOf<'order'>['body']}>;
	let waiting: ModelDemand[];
	let isHeld: boolean;
	let failures: number;
	let busy: Set<string>;

	beforeEach(() => {
		clock = install({toNotFake: ['queueMicrotask', 'nextTick']});
		endpoints = Array.from({length: 6}, (_, index) => ({agent: `agent-${index}`, isUp: true, status: createStatus([{model: 'hazard', version: 4}])}));
		orders = [];
		waiting = [];
		isHeld = true;
		failures = 0;
		busy = new Set();
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Updates an endpoint's status as if an order was carried out. */
	function applyOrder(agent: string, body: MessageOf<'order'>['body']): void {
		const endpoint = endpoints.find(other => other.agent === agent)!;
		endpoint.status = createStatus(body.kind === 'load' ? [{model: body.model, version: body.version}] : []);
	}

	function createRunner(): PlacementRunner {
		const lease: OrderLease = {fence: 1, holds: () => isHeld};
		const runner = new PlacementRunner({
			service: 'models',
			lease,
			log: createSilentLog(),
			listEndpoints: () => endpoints,
			listWaiting: () => waiting,
			isOrdered: agent => busy.has(agent),
			findVersion: model => versions.get(model),
			send(agent, message) {
				const {order, body} = message as MessageOf<'order'>;
				orders.push({agent, body});
				setTimeout(() => {
					const hasFailed = failures > 0;
					failures -= hasFailed ? 1 : 0;
					if (!hasFailed) {
						applyOrder(agent, body);
					}

					runner.receive(agent, {
						kind: 'ordered', order, outcome: hasFailed ? 'failed' : 'done', detail: '',
					});
				}, orderMs);
				return true;
			},
		});
		return runner;
	}

	async function run(runner: PlacementRunner, seconds: number): Promise<void> {
		for (let second = 0; second < seconds; second += 1) {
			runner.tick();
			// Ticks run one after another.
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1000);
		}
	}

	function listHeldModels(): string[] {
		return endpoints.map(({status}) => status.models.map(({model, version}) => `${model}@${version}`).join(' '));
	}

	it('moves engines to a model in demand, at its newest version, and unloads the old model first', async () => {
		waiting = [{model: 'route', requests: 24, interactive: 0}];
		await run(createRunner(), 60);
		expect(listHeldModels().filter(held => held === 'route@7')).to.have.lengthOf(3);
		expect(orders.slice(0, 2).map(({body}) => body.kind)).to.deep.equal(['unload', 'unload']);
		expect(orders).to.have.lengthOf(6);
	});

	it('sends no order while capacity is sufficient', async () => {
		waiting = [{model: 'hazard', requests: 16, interactive: 4}];
		await run(createRunner(), 60);
		expect(orders).to.deep.equal([]);
	});

	it('does not change an engine that its operator has set up with several models', async () => {
		for (const endpoint of endpoints) {
			endpoint.status = createStatus([{model: 'hazard', version: 4}, {model: 'score', version: 1}]);
		}

		waiting = [{model: 'route', requests: 24, interactive: 8}];
		await run(createRunner(), 60);
		expect(orders).to.deep.equal([]);
	});

	it('sends no order without the lease', async () => {
		isHeld = false;
		waiting = [{model: 'route', requests: 24, interactive: 8}];
		await run(createRunner(), 30);
		expect(orders).to.deep.equal([]);
	});

	it('lets another holder of the lease finish a change', async () => {
		waiting = [{model: 'route', requests: 8, interactive: 8}];
		const first = createRunner();
		await run(first, 1);
		isHeld = false;
		await run(first, 3);
		expect(listHeldModels()).to.include('');
		isHeld = true;
		await run(createRunner(), 30);
		expect(listHeldModels()).not.to.include('');
		expect(listHeldModels()).to.include('route@7');
	});

	it('does not change an endpoint with another pending order', async () => {
		waiting = [{model: 'route', requests: 48, interactive: 8}];
		busy = new Set(['agent-0']);
		await run(createRunner(), 60);
		expect(orders.filter(({agent}) => busy.has(agent))).to.deep.equal([]);
		expect(listHeldModels()).to.include('route@7');
	});

	it('does not load a model without a published version', async () => {
		waiting = [{model: 'unpublished', requests: 24, interactive: 8}];
		await run(createRunner(), 30);
		expect(orders).to.deep.equal([]);
	});

	it('retries later when a load fails', async () => {
		waiting = [{model: 'route', requests: 8, interactive: 8}];
		const runner = createRunner();
		await run(runner, 3);
		failures = 1;
		await run(runner, 60);
		expect(listHeldModels()).to.include('route@7');
		expect(runner.movingCount).to.equal(0);
	});
});
