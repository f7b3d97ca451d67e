import {expect} from 'chai';
import {request} from 'undici';
import {HttpServer} from '@wasabiusher/daemon';
import {ConfigurationHistory} from '@wasabiusher/record';
import {emptyConfiguration, type AcceptedConfiguration} from '@wasabiusher/shared';
import {MemoryTableService} from '@wasabiusher/standins';
import {answerError} from '../src/answers.js';
import {addUnknownRoute} from '../src/caller-routes.js';
import {addOperatorRoutes} from '../src/operator-routes.js';
import {describeStatus} from '../src/status.js';
import {createStatus, createConfiguration} from './fixtures.js';

type Answer = {status: number; body: Record<string, unknown>};

describe('addOperatorRoutes', () => {
	let server: HttpServer;
	let origin: string;
	let current: AcceptedConfiguration;

	async function send(method: 'GET' | 'POST', path: string, body?: unknown, token = 't1'): Promise<Answer> {
		const response = await request(`${origin}${path}`, {
			method, body: body === undefined ? undefined : JSON.stringify(body), headers: token === '' ? {} : {authorization: `Bearer ${token}`},
		});
		return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
	}

	beforeEach(async () => {
		current = emptyConfiguration;
		server = new HttpServer(answerError);
		addOperatorRoutes(server, {
			history: new ConfigurationHistory(new MemoryTableService()),
			tokens: ['t0', 't1'],
			current: () => current,
			adopt(accepted) {
				current = accepted;
			},
			status: () => describeStatus({
				name: 'entry-1',
				dataCentre: 'muroran',
				isLeaving: false,
				openCalls: 2,
				accepted: {...emptyConfiguration, version: 4},
				endpoints: [
					{
						id: 'agent-2', dataCentre: 'muroran', isUp: true, draining: 1, status: createStatus({configurationVersion: 4}),
					},
					{
						id: 'agent-1', dataCentre: 'ishikari', isUp: false, draining: 0, status: createStatus({configurationVersion: 3}),
					},
				],
				quarantine: [],
				rollouts: [],
			}),
		});
		addUnknownRoute(server);
		origin = `http://${await server.listen('127.0.0.1:0')}`;
	});

	afterEach(async () => {
		await server.kill();
	});

	it('accepts a change, applies it and lists it in the history', async () => {
		const {status, body} = await send('POST', '/v1/configuration', {configuration: createConfiguration(), author: 'ann', ifVersion: 0});
		expect(status).to.equal(200);
		expect(body).to.include({version: 1, author: 'ann'});
		expect(current.version).to.equal(1);
		const history = await send('GET', '/v1/configuration/history?limit=5');
		expect(history.body).to.have.lengthOf(1);
	});

	it('rejects a change without a valid token', async () => {
		for (const token of ['', 't2', 't']) {
			// Sequential, so that a failure names its token.
			// eslint-disable-next-line no-await-in-loop
			const {status} = await send('POST', '/v1/configuration', {configuration: createConfiguration(), author: 'eve'}, token);
			expect(status, `token "${token}"`).to.equal(401);
		}

		expect(current.version).to.equal(0);
	});

	it('lists all validation errors with their paths', async () => {
		const {status, body} = await send('POST', '/v1/configuration', {
			author: 'ann',
			configuration: {profiles: {ranger: {class: 'urgent', idempotent: true, deadlineMs: -1}}, services: {models: {kind: 'odd'}}},
		});
		expect(status).to.equal(400);
		expect(body.ran).to.equal('no');
		expect((body.problems as Array<{path: string[]}>).map(({path}) => path.join('.'))).to.have.members([
			'configuration.profiles.ranger.class', 'configuration.profiles.ranger.deadlineMs', 'configuration.services.models.kind',
		]);
		expect(current.version).to.equal(0);
	});

	it('includes the configuration in force in a conflict', async () => {
		await send('POST', '/v1/configuration', {configuration: createConfiguration(), author: 'ann', ifVersion: 0});
		const {status, body} = await send('POST', '/v1/configuration', {configuration: createConfiguration(), author: 'bob', ifVersion: 0});
		expect(status).to.equal(409);
		expect(body.current).to.deep.include({version: 1, author: 'ann'});
	});

	it('lists the processes that run an older configuration', async () => {
		const {body} = await send('GET', '/v1/status');
		expect(body).to.deep.include({lagging: ['agent-1']});
		expect((body.agents as unknown[])[1]).to.deep.include({
			name: 'agent-2', configurationVersion: 4, draining: 1, isUp: true,
		});
		expect(body.entries).to.deep.equal([{
			name: 'entry-1', dataCentre: 'muroran', configurationVersion: 4, isLagging: false, isLeaving: false, openCalls: 2,
		}]);
	});

	it('responds to an unknown route with a problem', async () => {
		expect(await send('GET', '/v1/other')).to.deep.include({status: 404});
	});
});
