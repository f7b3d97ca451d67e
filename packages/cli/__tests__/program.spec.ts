import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {HttpServer, readJson, sendJson} from '@wasabiusher/daemon';
import {burnWindowNames, burnWindows, mapBurnWindows} from '@wasabiusher/decisions';
import {createProblem, type AcceptedConfiguration, type Configuration} from '@wasabiusher/shared';
import {runProgram} from '../src/index.js';

const document = 'profiles:\n  ranger:\n    class: interactive\n    idempotent: true\n    deadlineMs: 100\nservices: {}\n';

type Change = {configuration: Configuration; author: string; ifVersion?: number};

describe('wasabiusher', () => {
	let folder: string;
	let file: string;
	const servers: HttpServer[] = [];

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'wasabiusher-'));
		file = path.join(folder, 'profiles.yaml');
		await writeFile(file, document);
	});

	afterEach(async () => {
		await Promise.all(servers.splice(0).map(async server => server.kill()));
		await rm(folder, {recursive: true});
	});

	async function run(...argv: string[]): Promise<{status: number; out: string; error: string}> {
		const out: string[] = [];
		const error: string[] = [];
		const status = await runProgram({
			argv,
			environment: {WASABIUSHER_AUTHOR: 'mori'},
			writeOut(text) {
				out.push(text);
			},
			writeError(text) {
				error.push(text);
			},
		});
		return {status, out: out.join('\n'), error: error.join('\n')};
	}

	async function listen(server: HttpServer): Promise<string> {
		servers.push(server);
		return `http://${await server.listen('127.0.0.1:0')}`;
	}

	/** Starts an entry that keeps accepted changes in memory. */
	async function startEntry(): Promise<{origin: string; changes: AcceptedConfiguration[]; tokens: unknown[]}> {
		const changes: AcceptedConfiguration[] = [];
		const tokens: unknown[] = [];
		const current = () => changes.at(-1) ?? {
			version: 0, configuration: {profiles: {}, services: {}}, acceptedAt: 0, author: '',
		};
		const server = new HttpServer();
		server.on('get', '/v1/configuration', ({request, response}) => {
			tokens.push(request.headers.authorization);
			sendJson(response, 200, current());
		});
		server.on('get', '/v1/configuration/history', ({response}) => {
			sendJson(response, 200, changes.toReversed());
		});
		server.on('post', '/v1/configuration', async ({request, response}) => {
			const {configuration, author, ifVersion} = await readJson(request) as Change;
			const {version} = current();
			if (ifVersion !== undefined && ifVersion !== version) {
				sendJson(response, 409, {...createProblem('conflict', `the configuration is at version ${version}`, 'no'), current: current()});
				return;
			}

			changes.push({
				version: version + 1, configuration, author, acceptedAt: 0,
			});
			sendJson(response, 200, current());
		});
		return {origin: await listen(server), changes, tokens};
	}

	it('reports wrong usage with exit status 2, and a missing file with 1', async () => {
		expect(await run('frobnicate')).to.deep.include({status: 2, error: 'wasabiusher: unknown command "frobnicate"; see --help'});
		expect(await run('constructor')).to.deep.include({status: 2});
		expect(await run('validate', '--nope', '1')).to.deep.include({status: 2, error: 'wasabiusher: unknown setting --nope; see --help'});
		expect(await run('status')).to.deep.include({status: 2, error: 'wasabiusher: setting --entries is required (or WASABIUSHER_ENTRIES)'});
		expect(await run('validate', '-f', `${file}x`)).to.deep.include({status: 1, error: `${file}x: the file can not be read`});
	});

	it('prints the result of a validation as text and as JSON', async () => {
		expect(await run('validate', '-f', file)).to.deep.include({status: 0, out: `${file}: valid, 1 profiles and 0 services`});
		await writeFile(file, 'profiles: {}\nservice: {}\n');
		const {status, out, error} = await run('validate', '-f', file, '--json');
		expect(status).to.equal(1);
		expect((JSON.parse(out) as {problems: unknown[]}).problems).to.have.lengthOf(2);
		expect(error).to.contain(`${file}:2:1: service: unknown field`);
	});

	it('shows the differences of a change, and changes nothing in a dry run', async () => {
		const {origin, changes, tokens} = await startEntry();
		const {out} = await run('diff', '-f', file, '--entries', origin, '--token', '0123');
		expect(out).to.contain('from version 0:\n+ profiles.ranger.class: "interactive"\n');
		expect(await run('apply', '-f', file, '--entries', origin, '--dry-run')).to.deep.include({status: 0});
		expect(changes).to.deep.equal([]);
		expect(tokens[0]).to.equal('Bearer 0123');
	});

	it('applies a change under its author\'s name and lists it in the history', async () => {
		const {origin, changes} = await startEntry();
		expect(await run('apply', '-f', file, '--entries', origin)).to.deep.include({status: 0});
		await writeFile(file, document.replace('100', '200'));
		const {out} = await run('apply', '-f', file, '--entries', origin, '--if-version', '1');
		expect(out).to.equal('version 2 accepted\n~ profiles.ranger.deadlineMs: 100 -> 200');
		expect(changes.map(({author}) => author)).to.deep.equal(['mori', 'mori']);
		const history = await run('history', '--entries', origin);
		expect(history.out.split('\n')[1]).to.match(/^2 .* mori +profiles\.ranger\.deadlineMs$/v);
	});

	it('reports a conflict with exit status 3, and shows the change that was accepted first', async () => {
		const {origin, changes} = await startEntry();
		await run('apply', '-f', file, '--entries', origin, '--author', 'sato');
		await writeFile(file, document.replace('100', '200'));
		const {status, error} = await run('apply', '-f', file, '--entries', origin, '--if-version', '0');
		expect(status).to.equal(3);
		expect(error).to.contain('version 1 was accepted from sato');
		expect(error).to.contain('~ profiles.ranger.deadlineMs: 100 -> 200');
		expect(changes).to.have.lengthOf(1);
	});

	it('calls the next entry if one can not be reached', async () => {
		const {origin} = await startEntry();
		expect(await run('history', '--entries', `http://127.0.0.1:1,${origin}`)).to.deep.include({status: 0});
	});

	it('does not resend a change without an answer, and reports that it may have been accepted', async () => {
		let posts = 0;
		const server = new HttpServer();
		server.on('get', '/v1/configuration', ({response}) => {
			sendJson(response, 200, {
				version: 0, configuration: {profiles: {}, services: {}}, acceptedAt: 0, author: '',
			});
		});
		server.on('post', '/v1/configuration', ({response}) => {
			posts += 1;
			response.destroy();
		});
		const origin = await listen(server);
		const {status, error} = await run('apply', '-f', file, '--entries', `${origin},${origin}`);
		expect(status).to.equal(1);
		expect(error).to.contain('may have been accepted');
		expect(posts).to.equal(1);
	});

	it('merges the statuses of several entries, and names processes with an older version and entries that do not answer', async () => {
		const startStatusServer = async (name: string, version: number, agentVersion: number) => {
			const server = new HttpServer();
			const process = {dataCentre: 'muroran', isLeaving: false};
			server.on('get', '/v1/status', ({response}) => {
				sendJson(response, 200, {
					configuration: {version, acceptedAt: 0, author: 'mori'},
					entries: [{
						...process, name, configurationVersion: version, openCalls: 1,
					}],
					agents: [{
						...process, name: 'agent-1', configurationVersion: agentVersion, isUp: true, isHealthy: true, models: [], limit: 8, running: 0, waiting: 0, draining: 0,
					}],
				});
			});
			return listen(server);
		};

		const origins = [await startStatusServer('entry-1', 4, 4), await startStatusServer('entry-2', 5, 3)];
		const {status, out} = await run('status', '--entries', [...origins, 'http://127.0.0.1:1'].join(','));
		expect(status).to.equal(0);
		expect(out).to.contain('configuration 5 is in force at 1 of 3 processes; behind: entry-1, agent-1');
		expect(out).to.contain('no answer from http://127.0.0.1:1: ');
	});

	describe('burn', () => {
		const startMetricsServer = async (bad: number, coveredFraction: number) => {
			const labels = {profile: 'ranger<', objective: 'answeredInTime'};
			const server = new HttpServer();
			server.on('get', '/metrics', ({response}) => {
				sendJson(response, 200, [
					{name: 'wasabiusher_objective_target', values: [{labels, value: 0.9}]},
					{
						name: 'wasabiusher_objective_events',
						values: burnWindowNames.flatMap(window => [{labels: {...labels, window, result: 'good'}, value: 100 - bad}, {labels: {...labels, window, result: 'bad'}, value: bad}]),
					},
					{
						name: 'wasabiusher_objective_covered_seconds',
						values: burnWindowNames.map(window => ({labels: {...labels, window}, value: burnWindows[window] / 1000 * coveredFraction})),
					},
				]);
			});
			return listen(server);
		};

		it('sums the counts of entries, and reports burn rates, the remaining budget and missing data', async () => {
			const origins = [await startMetricsServer(0, 1), await startMetricsServer(10, 0.5)];
			const {status, out} = await run('burn', '--metrics', [...origins, 'http://127.0.0.1:1'].join(','), '--json');
			expect(status).to.equal(0);
			const {rows, missing} = JSON.parse(out) as {rows: Array<Record<string, unknown>>; missing: unknown[]};
			const rate = (rows[0]!.rates as {oneHour: number}).oneHour;
			expect(rate).to.be.closeTo(0.5, 1e-9);
			expect(rows[0]!.budgetLeft).to.be.closeTo(0.5, 1e-9);
			expect(rows[0]!.counts).to.deep.equal(mapBurnWindows(window => ({good: 190, total: 200, coveredMs: burnWindows[window] / 2})));
			expect(rows[0]!.missing).to.deep.equal(['not observed whole: 5m 30m 1h 6h', '1 entries without figures']);
			expect(missing).to.have.lengthOf(1);
		});

		it('fails if no entry answers, instead of reporting no burn', async () => {
			const {status, error} = await run('burn', '--metrics', 'http://127.0.0.1:1');
			expect(status).to.equal(1);
			expect(error).to.contain('no figures from http://127.0.0.1:1');
		});

		it('writes a self-contained page', async () => {
			const page = path.join(folder, 'burn.html');
			await run('burn', '--metrics', await startMetricsServer(50, 1), '--html', page);
			const html = await readFile(page, 'utf8');
			expect(html).to.contain('ranger&lt;');
			expect(html).not.to.match(/src=|href=|url\(/v);
		});
	});
});
