import {expect} from 'chai';
import {request} from 'undici';
import {
	createParts, startRoutes, waitUntil, type Reply, type Routes,
} from './fixtures.js';

type BadRequest = {name: string; path?: string; body?: unknown; headers?: Record<string, string>; status: number; detail: RegExp};

type Answer = {status: number; headers: Record<string, unknown>; text: string};

async function post({origin}: Routes, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
	const response = await request(`${origin}${path}`, {
		method: 'POST',
		body: typeof body === 'string' ? body : JSON.stringify(body),
		headers: {'wasabiusher-profile': 'ranger', ...headers},
	});
	return {status: response.statusCode, headers: response.headers, text: await response.body.text()};
}

function answerWhole({part}: Reply): void {
	part(createParts('out '));
	part({kind: 'parts', parts: [{text: 'since ', tokens: 1, version: 3}, {text: 'noon', tokens: 1, version: 4}]});
	part({kind: 'finished', reason: 'stop'});
}

function listData(text: string): string[] {
	return text.trim().split('\n\n').map(block => block.replace(/^data: /v, ''));
}

const body = {model: 'trail', prompt: 'Is the bridge out?'};

describe('completions', () => {
	let routes: Routes;

	afterEach(async () => {
		await routes.stop();
	});

	it('responds with the complete text and the weight versions that generated it', async () => {
		routes = await startRoutes(answerWhole);
		const {status, text} = await post(routes, '/v1/completions', {
			...body, user: 'someone', logit_bias: {}, temperature: null,
		});
		expect(status, text).to.equal(200);
		const answer = JSON.parse(text) as Record<string, unknown>;
		expect(answer).to.deep.include({
			object: 'text_completion',
			model: 'trail',
			choices: [{index: 0, text: 'out since noon', finish_reason: 'stop'}],
			usage: {completion_tokens: 3},
			versions: [{version: 3, from: 0, to: 2}, {version: 4, from: 2, to: 3}],
		});
	});

	it('accepts text parts and `max_completion_tokens` in a chat', async () => {
		routes = await startRoutes(answerWhole);
		const {text} = await post(routes, '/v1/chat/completions', {
			model: 'trail', max_completion_tokens: 7, messages: [{role: 'user', content: [{type: 'text', text: 'a'}, {type: 'text', text: 'b'}]}],
		});
		expect(JSON.parse(text)).to.deep.include({choices: [{index: 0, message: {role: 'assistant', content: 'out since noon'}, finish_reason: 'stop'}]});
		const [open] = routes.sent;
		expect(open).to.deep.include({work: {kind: 'generate', request: {model: 'trail', maxTokens: 7, messages: [{role: 'user', content: 'ab'}]}}});
	});

	it('streams chunks with their token offsets and ends with the terminal event', async () => {
		routes = await startRoutes(answerWhole);
		const {headers, text} = await post(routes, '/v1/chat/completions', {
			model: 'trail', messages: [{role: 'user', content: 'a'}], stream: true, stream_options: {include_usage: true},
		});
		expect(headers['content-type']).to.equal('text/event-stream');
		const data = listData(text);
		expect(data.at(-1)).to.equal('[DONE]');
		const chunks = data.slice(0, -1).map(item => JSON.parse(item) as Record<string, unknown>);
		expect(chunks.map(({choices}) => choices)).to.deep.equal([
			[{index: 0, delta: {role: 'assistant', content: 'out '}, finish_reason: null}],
			[{index: 0, delta: {content: 'since noon'}, finish_reason: null}],
			[{index: 0, delta: {content: ''}, finish_reason: 'stop'}],
			[],
		]);
		expect(chunks[1]!.versions).to.deep.equal([{version: 3, from: 1, to: 2}, {version: 4, from: 2, to: 3}]);
		expect(chunks[3]!.usage).to.deep.equal({completion_tokens: 3});
	});

	it('ends an interrupted stream with an error event and no terminal event', async () => {
		routes = await startRoutes(({part, fail}) => {
			part(createParts('out '));
			fail('unknown');
		});
		const {status, text} = await post(routes, '/v1/completions', {...body, stream: true});
		expect(status).to.equal(200);
		expect(text).to.not.include('[DONE]');
		const [, failure] = text.trim().split('\n\n');
		expect(failure).to.match(/^event: error\ndata: /v);
		expect(JSON.parse(failure!.split('data: ')[1]!)).to.include({kind: 'endpoint-failed', ran: 'yes'});
	});

	it('responds to a failure before the first part with its status', async () => {
		routes = await startRoutes(({refuse}) => {
			refuse('overloaded');
		});
		const {status, headers, text} = await post(routes, '/v1/completions', {...body, stream: true});
		expect(status).to.equal(429);
		expect(headers['content-type']).to.equal('application/problem+json');
		expect(Number(headers['retry-after'])).to.be.at.least(1);
		expect(JSON.parse(text)).to.include({ran: 'no', kind: 'overloaded'});
	});

	it('cancels the attempt when the caller disconnects', async () => {
		routes = await startRoutes(({part}) => {
			part(createParts('out '));
		});
		const gone = new AbortController();
		const response = await request(`${routes.origin}/v1/completions`, {
			method: 'POST', body: JSON.stringify({...body, stream: true}), headers: {'wasabiusher-profile': 'ranger'}, signal: gone.signal,
		});
		response.body.on('error', () => undefined);
		gone.abort();
		await waitUntil(() => routes.sent.some(({kind}) => kind === 'cancel'));
		expect(routes.records.map(({outcome}) => outcome)).to.deep.equal(['cancelled']);
	});

	it('withholds acknowledgements while the caller does not read', async () => {
		// Exceeds the buffers of both sockets.
		const large = 'x'.repeat(1_000_000);
		routes = await startRoutes(({part}) => {
			for (let i = 0; i < 40; i += 1) {
				part(createParts(large));
			}

			part({kind: 'finished', reason: 'stop'});
		});
		const response = await request(`${routes.origin}/v1/completions`, {
			method: 'POST', body: JSON.stringify({...body, stream: true}), headers: {'wasabiusher-profile': 'ranger'},
		});
		await waitUntil(() => routes.records.length === 1);
		// Only the final event is acknowledged.
		expect(routes.sent.filter(({kind}) => kind === 'acknowledge')).to.have.lengthOf(1);
		const text = await response.body.text();
		expect(text.length).to.be.greaterThan(40_000_000);
		expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
	});

	const badRequests: BadRequest[] = [
		{
			name: 'malformed JSON', body: '{"model":', status: 400, detail: /not JSON/v,
		},
		{
			name: 'an empty body', body: '', status: 400, detail: /expected object/v,
		},
		{
			name: 'a field of a wrong type', body: {...body, max_tokens: 'many'}, status: 400, detail: /field max_tokens/v,
		},
		{
			name: 'a request for several answers', body: {...body, n: 2}, status: 400, detail: /field n: expected 1/v,
		},
		{
			name: 'a model that no service has', body: {...body, model: 'none'}, status: 404, detail: /field model.*"none"/v,
		},
		{
			name: 'an unknown profile', headers: {'wasabiusher-profile': 'none'}, status: 400, detail: /header Wasabiusher-Profile.*"none"/v,
		},
		{
			name: 'a profile named like a property of Object.prototype', headers: {'wasabiusher-profile': 'constructor'}, status: 400, detail: /header Wasabiusher-Profile/v,
		},
		{
			name: 'a timeout that is not a number', headers: {'wasabiusher-timeout-ms': 'soon'}, status: 400, detail: /header Wasabiusher-Timeout-Ms.*"soon"/v,
		},
		{
			name: 'a timeout above the maximum', headers: {'wasabiusher-timeout-ms': '1e12'}, status: 400, detail: /header Wasabiusher-Timeout-Ms/v,
		},
		{
			name: 'a blank timeout', headers: {'wasabiusher-timeout-ms': ' '}, status: 400, detail: /header Wasabiusher-Timeout-Ms/v,
		},
		{
			name: 'a deadline that has passed', headers: {'wasabiusher-timeout-ms': '-5'}, status: 400, detail: /header Wasabiusher-Timeout-Ms: the deadline has passed/v,
		},
		{
			name: 'a caller name that is too long', headers: {'wasabiusher-caller': 'x'.repeat(200)}, status: 400, detail: /header Wasabiusher-Caller/v,
		},
		{
			name: 'a body that is too large', body: 'x'.repeat(9 * 1024 * 1024), status: 413, detail: /exceeds/v,
		},
		{
			name: 'an unknown route', path: '/v2', status: 404, detail: /"v2"/v,
		},
		{
			name: 'a request target that is not a URL', path: '//', status: 404, detail: /no/v,
		},
	];

	const refuse = async (bad: BadRequest): Promise<void> => {
		routes = await startRoutes(answerWhole);
		await checkRefusal(routes, bad);
	};

	for (const bad of badRequests) {
		it(`rejects ${bad.name} without running anything`, async () => refuse(bad));
	}
});

async function checkRefusal(routes: Routes, {path = '/v1/completions', body: badBody = body, headers, status, detail}: BadRequest): Promise<void> {
	const answer = await post(routes, path, badBody, headers);
	expect(answer.status, answer.text).to.equal(status);
	expect(answer.headers['content-type']).to.equal('application/problem+json');
	const problem = JSON.parse(answer.text) as {detail: string; ran: string; status: number};
	expect(problem.detail).to.match(detail);
	expect(problem).to.include({ran: 'no', status});
	expect(routes.sent).to.deep.equal([]);
}
