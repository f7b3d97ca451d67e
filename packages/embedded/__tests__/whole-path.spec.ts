import {expect} from 'chai';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {createSilentLog} from '@wasabiusher/shared';
import {Deployment} from '../src/index.js';

const configuration = {
	profiles: {
		ranger: {class: 'interactive', idempotent: true, deadlineMs: 5000},
		posting: {class: 'interactive', idempotent: false, deadlineMs: 5000},
		drift: {
			class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 1},
		},
	},
	services: {models: {kind: 'model', models: ['trail']}, ledger: {kind: 'plain'}},
};

type ReceivedEvent = {name: string | undefined; data: string};

async function readEvents(origin: string, path: string, onEvent: (event: ReceivedEvent) => void): Promise<void> {
	const parser = createParser({
		onEvent({event, data}) {
			onEvent({name: event, data});
		},
	});
	const {body} = await request(new URL(path, origin));
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		parser.feed(new TextDecoder().decode(chunk));
	}
}

async function post(origin: string, path: string, body: unknown, headers: Record<string, string> = {}) {
	const response = await request(new URL(path, origin), {method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json', ...headers}});
	return {status: response.statusCode, text: await response.body.text()};
}

describe('the path from caller to endpoint', () => {
	let deployment: Deployment;
	let callers: string;
	let operators: string;

	beforeEach(async () => {
		deployment = new Deployment({
			dataCentres: ['innsbruck-a'], entries: 1, engines: 2, plainEndpoints: 1, modelService: 'models', plainService: 'ledger', slots: 8, tokenMs: 2, models: {trail: 3},
		}, createSilentLog);
		await deployment.start();
		const {addresses} = deployment.entries[0]!;
		callers = `http://${addresses.callers}`;
		operators = `http://${addresses.operators}`;
		const applied = await post(operators, '/v1/configuration', {configuration, author: 'test'});
		expect(applied.status, applied.text).to.equal(200);
		await waitUntilServed(callers);
	});

	afterEach(async () => {
		await deployment.stop();
	});

	it('returns a complete completion, with the weight versions that generated it', async () => {
		const {status, text} = await post(callers, '/v1/completions', {model: 'trail', prompt: 'Is the bridge out?', max_tokens: 5}, {'wasabiusher-profile': 'ranger'});
		expect(status, text).to.equal(200);
		const answer = JSON.parse(text) as {choices: Array<{text: string}>; versions: unknown};
		expect(answer.choices[0]!.text).to.equal('t1 t2 t3 t4 t5 ');
		expect(answer.versions).to.deep.equal([{version: 3, from: 0, to: 5}]);
	});

	it('streams a chat completion that ends with the terminal event', async () => {
		const {text} = await post(callers, '/v1/chat/completions', {
			model: 'trail', messages: [{role: 'user', content: 'hello'}], max_tokens: 4, stream: true,
		}, {'wasabiusher-profile': 'ranger'});
		const events = text.trim().split('\n\n');
		expect(events.at(-1)).to.equal('data: [DONE]');
		expect(events).to.have.lengthOf(6);
	});

	it('forwards a posting once and returns its status', async () => {
		const {status, text} = await post(callers, '/ledger/postings', {key: 'tank-7'}, {'wasabiusher-profile': 'posting'});
		expect(status).to.equal(201);
		expect(JSON.parse(text)).to.deep.equal({key: 'tank-7', count: 1});
	});

	it('delivers each sample of a step once', async () => {
		const opened = await post(callers, '/v1/steps', {
			id: 'step-1', profile: 'drift', trainer: 'hazard', model: 'trail', groups: [{prompt: 'a'}, {prompt: 'b'}], groupSize: 4, maxTokens: 6,
		});
		expect(opened.status, opened.text).to.equal(201);
		const received: string[] = [];
		await readEvents(callers, '/v1/steps/step-1/samples?version=3', event => {
			if (event.name === 'sample') {
				const {id} = JSON.parse(event.data) as {id: string};
				received.push(id);
				void post(callers, '/v1/steps/step-1/acks', {samples: [id]});
			}
		});
		expect(received.toSorted()).to.deep.equal(['0/0', '0/1', '0/2', '0/3', '1/0', '1/1', '1/2', '1/3'].map(id => `step-1/${id}`));
	});
});

/** Polls until a call succeeds. The agents' first reports arrive shortly after the links are up. */
async function waitUntilServed(callers: string): Promise<void> {
	for (let tries = 0; tries < 100; tries += 1) {
		// Polls in sequence.
		// eslint-disable-next-line no-await-in-loop
		const {status} = await post(callers, '/v1/completions', {model: 'trail', prompt: '', max_tokens: 1}, {'wasabiusher-profile': 'ranger'});
		if (status === 200) {
			return;
		}
	}

	throw new Error('the deployment answered none of 100 calls with status 200');
}

export {type Configuration} from '@wasabiusher/shared';
