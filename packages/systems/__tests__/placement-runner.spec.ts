import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {EndpointStatus, MessageOf} from '@wasabiusher/link';
import {createSilentLog} from '@wasabiusher/shared';
import {
	PlacementRunner, type ControlledEndpoint, type ModelDemand, type OrderLease,
} from '../src/index.js';

/** Time that an order takes, in milliseconds. */
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

describe('placement runner', () => {
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

	/** What a status shows once an order has been carried out. */
	function putInForce(agent: string, body: MessageOf<'order'>['body']): void {
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
						putInForce(agent, body);
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
			// Ticks follow one another.
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(1000);
		}
	}

	function listHeld(): string[] {
		return endpoints.map(({status}) => status.models.map(({model, version}) => `${model}@${version}`).join(' '));
	}

	it('gives engines to a model that is asked for, at its newest version, the old one taken first', async () => {
		waiting = [{model: 'route', requests: 24, interactive: 0}];
		await run(createRunner(), 60);
		expect(listHeld().filter(held => held === 'route@7')).to.have.lengthOf(3);
		expect(orders.slice(0, 2).map(({body}) => body.kind)).to.deep.equal(['unload', 'unload']);
		expect(orders).to.have.lengthOf(6);
	});

	it('orders nothing while nothing is lacking', async () => {
		waiting = [{model: 'hazard', requests: 16, interactive: 4}];
		await run(createRunner(), 60);
		expect(orders).to.deep.equal([]);
	});

	it('leaves an engine alone that its operator gave several models', async () => {
		for (const endpoint of endpoints) {
			endpoint.status = createStatus([{model: 'hazard', version: 4}, {model: 'score', version: 1}]);
		}

		waiting = [{model: 'route', requests: 24, interactive: 8}];
		await run(createRunner(), 60);
		expect(orders).to.deep.equal([]);
	});

	it('gives no order without the lease', async () => {
		isHeld = false;
		waiting = [{model: 'route', requests: 24, interactive: 8}];
		await run(createRunner(), 30);
		expect(orders).to.deep.equal([]);
	});

	it('lets another holder end what one has begun', async () => {
		waiting = [{model: 'route', requests: 8, interactive: 8}];
		const first = createRunner();
		await run(first, 1);
		isHeld = false;
		await run(first, 3);
		expect(listHeld()).to.include('');
		isHeld = true;
		await run(createRunner(), 30);
		expect(listHeld()).not.to.include('');
		expect(listHeld()).to.include('route@7');
	});

	it('leaves an endpoint alone that carries out another order', async () => {
		waiting = [{model: 'route', requests: 48, interactive: 8}];
		busy = new Set(['agent-0']);
		await run(createRunner(), 60);
		expect(orders.filter(({agent}) => busy.has(agent))).to.deep.equal([]);
		expect(listHeld()).to.include('route@7');
	});

	it('does not load a model of which there is no version', async () => {
		waiting = [{model: 'unpublished', requests: 24, interactive: 8}];
		await run(createRunner(), 30);
		expect(orders).to.deep.equal([]);
	});

	it('tries again later when a load fails', async () => {
		waiting = [{model: 'route', requests: 8, interactive: 8}];
		const runner = createRunner();
		await run(runner, 3);
		failures = 1;
		await run(runner, 60);
		expect(listHeld()).to.include('route@7');
		expect(runner.moving).to.equal(0);
	});
});
