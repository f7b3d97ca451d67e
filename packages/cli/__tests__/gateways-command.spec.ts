import {expect} from 'chai';
import {HttpServer, sendJson} from '@wasabiusher/daemon';
import type {GatewayStatus} from '@wasabiusher/shared';
import {runProgram} from '../src/program.js';

function createStatus(host: string, changes: Partial<GatewayStatus> = {}): GatewayStatus {
	return {
		host, dataCentre: 'north', isReady: true, configuration: 7, configurationAgeMs: 120, storeWay: 'direct', lateMs: 1, isHolder: false, shares: 2, waiting: {m: 4}, published: {m: 3},
		turns: [{
			turn: 'trainer', urgency: 1, waiting: 4, oldestMs: 250,
		}],
		endpoints: [{
			id: 'e1', service: 's', dataCentre: 'north', slots: 6, open: 2, others: 0, isDraining: false, isAvailable: host === 'a', bestPaceMs: host === 'a' ? 26.5 : 30, versions: {m: 3},
		}],
		...changes,
	};
}

describe('wasabiusher gateways', () => {
	const servers: HttpServer[] = [];

	afterEach(async () => {
		await Promise.all(servers.splice(0).map(async server => server.kill()));
	});

	async function serve(content: unknown): Promise<string> {
		const server = new HttpServer();
		server.on('get', '/status', ({response}) => {
			sendJson(response, 200, content);
		});
		servers.push(server);
		return `http://${await server.listen('127.0.0.1:0')}`;
	}

	async function run(...argv: string[]): Promise<{status: number; out: string; error: string}> {
		const printed = {out: '', error: ''};
		const status = await runProgram({
			argv: ['gateways', ...argv], environment: {}, writeOut(text) {
				printed.out += text;
			}, writeError(text) {
				printed.error += text;
			},
		});
		return {status, ...printed};
	}

	it('shows the hosts, the queued requests, and each endpoint once, merged over all hosts', async () => {
		const origins = [await serve(createStatus('a')), await serve(createStatus('b', {storeWay: 'relayed'}))];
		const {status, out} = await run('--gateways', origins.join(','));
		expect(status).to.equal(0);
		expect(out).to.match(/^a +north +yes +7 +120 +direct/mv).and.to.match(/^b +north +yes +7 +120 +relayed/mv);
		expect(out).to.match(/^e1 +s +north +4\/6 +1 +no +26\.5 +m=3$/mv);
		expect(out).to.match(/^a +trainer +1 +4 +250$/mv);
	});

	it('names gateways without an answer or with an invalid one, and fails only if no gateway has a valid one', async () => {
		const origins = [await serve(createStatus('a')), await serve({host: 'x'}), 'http://127.0.0.1:1'];
		const {status, out} = await run('--gateways', origins.join(','), '--json');
		expect(status).to.equal(0);
		const {hosts, missing} = JSON.parse(out) as {hosts: Array<{host: string}>; missing: Array<{origin: string; reason: string}>};
		expect(hosts.map(({host}) => host)).to.deep.equal(['a']);
		expect(missing.map(({origin}) => origin)).to.deep.equal(origins.slice(1));
		expect(missing[0]!.reason).to.include('not a gateway\'s status: dataCentre');
		const failed = await run('--gateways', origins[2]!);
		expect([failed.status, failed.error.split('\n').length]).to.deep.equal([1, 1]);
	});
});
