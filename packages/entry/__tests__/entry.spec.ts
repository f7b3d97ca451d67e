import {expect} from 'chai';
import {request} from 'undici';
import {createSilentLog} from '@wasabiusher/shared';
import {PlatformServer} from '@wasabiusher/standins';
import {Entry, entrySettingsSchema} from '../src/index.js';
import {startFakeAgent, type FakeAgent} from './fake-agent.js';
import {
	createConfiguration, createParts, waitUntil, type Reply,
} from './fixtures.js';

function answerModel({part}: Reply): void {
	part(createParts('out'));
	part({kind: 'finished', reason: 'stop'});
}

function answerLedger({part}: Reply): void {
	part({kind: 'head', status: 201, headers: {'content-type': 'text/plain'}});
	part({kind: 'body', chunk: new TextEncoder().encode('posted')});
	part({kind: 'finished'});
}

const body = {model: 'trail', prompt: 'Is the bridge out?'};

describe('Entry', () => {
	let platform: PlatformServer;
	let entry: Entry;
	let agents: FakeAgent[];

	async function start(answer: (reply: Reply) => void = answerModel): Promise<void> {
		platform = new PlatformServer();
		const origin = await platform.start();
		agents = [await startFakeAgent('agent-1', 'models', answer), await startFakeAgent('agent-2', 'ledger', answerLedger)];
		for (const {member} of agents) {
			// Sequential, since the list keeps the order of insertion.
			// eslint-disable-next-line no-await-in-loop
			await request(`${origin}/v1/members/${member.id}`, {method: 'PUT', body: JSON.stringify(member)});
		}

		entry = new Entry(entrySettingsSchema.parse({
			name: 'entry-1', dataCentre: 'innsbruck-a', platform: origin, operatorTokens: 't1',
		}), createSilentLog());
		await entry.start();
		const {statusCode} = await request(`http://${entry.addresses.operators}/v1/configuration`, {
			method: 'POST', body: JSON.stringify({configuration: createConfiguration(), author: 'ann'}), headers: {authorization: 'Bearer t1'},
		});
		expect(statusCode).to.equal(200);
	}

	async function post(path: string, content: unknown, headers: Record<string, string> = {}) {
		const response = await request(`http://${entry.addresses.callers}${path}`, {
			method: 'POST', body: JSON.stringify(content), headers: {'wasabiusher-profile': 'ranger', ...headers},
		});
		return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
	}

	/** Opens a stream; resolves to its body once the headers have arrived. */
	async function openStream() {
		const response = await request(`http://${entry.addresses.callers}/v1/completions`, {
			method: 'POST', body: JSON.stringify({...body, stream: true}), headers: {'wasabiusher-profile': 'ranger'},
		});
		return response.body;
	}

	async function findMember(id: string) {
		const members = await platform.members.list();
		return members.find(member => member.id === id);
	}

	async function get(address: string, path: string) {
		const response = await request(`http://${address}${path}`, {headers: {authorization: 'Bearer t1'}});
		return {status: response.statusCode, text: await response.body.text()};
	}

	afterEach(async () => {
		for (const agent of agents) {
			agent.stop();
		}

		await entry.drain();
		await platform.stop();
	});

	it('serves callers once it is ready, and counts their calls', async () => {
		await start();
		const {callers, operators} = entry.addresses;
		const ready = await get(callers, '/readyz');
		expect(ready.status).to.equal(200);
		const {status, text} = await post('/v1/completions', body);
		expect(status, text).to.equal(200);
		const metrics = await get(callers, '/metrics');
		expect(metrics.text).to.include('wasabiusher_calls_total{profile="ranger",outcome="answered"} 1');
		const answer = await get(operators, '/v1/status');
		const reported = JSON.parse(answer.text) as {configuration: Record<string, unknown>; agents: Array<{name: string}>; entries: Array<Record<string, unknown>>};
		expect(reported.configuration).to.include({version: 1, author: 'ann'});
		expect(reported.agents.map(({name}) => name)).to.deep.equal(['agent-1', 'agent-2']);
		expect(reported.entries[0]).to.include({name: 'entry-1', configurationVersion: 1});
	});

	it('announces itself, and notifies agents of a configuration change', async () => {
		await start();
		expect(await findMember('entry-1')).to.include({role: 'entry', state: 'live', address: entry.addresses.callers});
		await waitUntil(() => agents[0]!.received.some(message => message.kind === 'digest' && message.configurationVersion === 1));
	});

	it('runs a call with an idempotency key once, and replays its answer', async () => {
		await start();
		const headers = {'wasabiusher-profile': 'posting', 'idempotency-key': 'k1'};
		const first = await post('/ledger/postings', {tank: 7}, headers);
		const second = await post('/ledger/postings', {tank: 7}, headers);
		expect([first.status, first.text]).to.deep.equal([201, 'posted']);
		expect([second.status, second.text, second.headers['idempotency-replayed']]).to.deep.equal([201, 'posted', 'true']);
		const other = await post('/ledger/postings', {tank: 8}, headers);
		expect(other.status).to.equal(409);
		expect(agents[1]!.received.filter(({kind}) => kind === 'open')).to.have.lengthOf(1);
	});

	it('resumes an answer over a replaced link', async () => {
		const replies: Reply[] = [];
		await start(reply => {
			replies.push(reply);
			reply.part(createParts('out '));
		});
		const stream = await openStream();
		agents[0]!.cutLinks();
		await waitUntil(() => agents[0]!.received.some(({kind}) => kind === 'resume'));
		expect(agents[0]!.received.find(({kind}) => kind === 'resume')).to.deep.include({request: replies[0]!.open.request, attempt: 1, next: 1});
		replies[0]!.part(createParts('since noon'));
		replies[0]!.part({kind: 'finished', reason: 'stop'});
		const text = await stream.text();
		expect(text).to.include('since noon');
		expect(text).to.match(/\[DONE\]\n\n$/v);
	});

	it('reports not ready while it drains, refuses new connections, and completes open calls', async () => {
		const replies: Reply[] = [];
		await start(reply => {
			replies.push(reply);
			reply.part(createParts('out '));
		});
		const {callers} = entry.addresses;
		const stream = await openStream();
		const drained = entry.drain();
		await waitUntilRefused(callers);
		const member = await findMember('entry-1');
		expect(member!.state).to.equal('leaving');
		replies[0]!.part(createParts('since noon'));
		replies[0]!.part({kind: 'finished', reason: 'stop'});
		const text = await stream.text();
		expect(text).to.include('since noon');
		expect(text).to.match(/\[DONE\]\n\n$/v);
		await drained;
	});
});

async function waitUntilRefused(address: string): Promise<void> {
	for (;;) {
		try {
			// Polls sequentially.
			// eslint-disable-next-line no-await-in-loop
			const {body: answer} = await request(`http://${address}/readyz`, {reset: true});
			// eslint-disable-next-line no-await-in-loop
			await answer.dump();
		} catch {
			return;
		}
	}
}
