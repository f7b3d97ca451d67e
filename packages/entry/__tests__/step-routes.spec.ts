import {expect} from 'chai';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {HttpServer} from '@wasabiusher/daemon';
import {configurationSchema} from '@wasabiusher/shared';
import {World, type FakeEntry} from '../../systems/__tests__/steps-fixtures.js';
import {answerError} from '../src/answers.js';
import {addStepRoutes} from '../src/step-routes.js';

const configuration = configurationSchema.parse({
	profiles: {
		drift: {
			class: 'rollout', idempotent: true, deadlineMs: 10_000, freshness: {versions: 1},
		},
	},
	services: {models: {kind: 'model', models: ['trail']}},
});

const order = {
	id: 'step-1', profile: 'drift', trainer: 'hazard', model: 'trail', groups: [{prompt: 'a'}, {prompt: 'b'}], groupSize: 2, maxTokens: 4,
};

type RunningEntry = FakeEntry & {origin: string; server: HttpServer};

async function startEntry(world: World): Promise<RunningEntry> {
	const server = new HttpServer(answerError);
	const address = await server.listen('127.0.0.1:0');
	const entry = world.createEntry(address);
	addStepRoutes(server, {runner: entry.runner, tokens: ['secret'], configuration: () => configuration});
	return {...entry, origin: `http://${address}`, server};
}

async function send(origin: string, path: string, body?: unknown): Promise<{status: number; body: Record<string, unknown>}> {
	const response = await request(new URL(path, origin), {
		method: body === undefined ? 'GET' : 'POST', headers: {authorization: 'Bearer secret', 'content-type': 'application/json'}, body: typeof body === 'string' ? body : JSON.stringify(body),
	});
	return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
}

type Pulled = {ids: string[]; cursor: string; end: string | undefined};

/** Pulls until the stream ends or `wanted` samples have arrived. */
async function pull(origin: string, after = '', wanted = Number.POSITIVE_INFINITY): Promise<Pulled> {
	const pulled: Pulled = {ids: [], cursor: after, end: undefined};
	const parser = createParser({
		onEvent({event, data}) {
			const {id, cursor} = JSON.parse(data) as {id: string; cursor: string};
			if (event !== 'sample') {
				pulled.end = event;
			} else if (pulled.ids.length < wanted) {
				pulled.ids.push(id);
				pulled.cursor = cursor;
			}
		},
	});
	const {body} = await request(new URL(`/v1/steps/step-1/samples?after=${after}&version=1`, origin), {headers: {authorization: 'Bearer secret'}});
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		parser.feed(new TextDecoder().decode(chunk));
		if (pulled.ids.length >= wanted) {
			break;
		}
	}

	return pulled;
}

describe('addStepRoutes', () => {
	let world: World;
	let first: RunningEntry;
	let second: RunningEntry;

	beforeEach(async () => {
		world = new World();
		world.endpoints.sampleMs = 2;
		first = await startEntry(world);
		second = await startEntry(world);
	});

	afterEach(async () => {
		world.stop();
		await Promise.all([first.server.kill(), second.server.kill()]);
	});

	it('relays requests to the entry that runs the step', async () => {
		expect(await send(first.origin, '/v1/steps', order)).to.have.property('status', 201);
		await waitUntilOwned(first);
		expect(await send(second.origin, '/v1/steps', order)).to.have.property('status', 201);
		const pulled = await pull(second.origin);
		expect([pulled.ids.length, pulled.end]).to.deep.equal([4, 'end']);
		const acknowledged = await send(second.origin, '/v1/steps/step-1/acks', {samples: pulled.ids});
		expect([acknowledged.status, acknowledged.body.isWhole]).to.deep.equal([200, true]);
		expect([first.runner.openSteps, second.runner.openSteps, world.endpoints.generated]).to.deep.equal([1, 0, 4]);
	});

	it('resumes the step at another entry after its owner has died', async () => {
		await send(first.origin, '/v1/steps', order);
		await waitUntilOwned(first);
		const before = await pull(first.origin, '', 2);
		first.kill();
		await first.server.kill();
		const after = await pull(second.origin, before.cursor);
		expect(after.end).to.equal('end');
		expect([...before.ids, ...after.ids].toSorted((a, b) => a.localeCompare(b))).to.deep.equal(['step-1/0/0', 'step-1/0/1', 'step-1/1/0', 'step-1/1/1']);
	});

	it('ends the stream with `moved` when the owner of the step leaves', async () => {
		world.endpoints.treat = () => 'hang';
		await send(first.origin, '/v1/steps', order);
		const pulling = pull(first.origin);
		await send(first.origin, '/v1/steps/step-1');
		await first.runner.drain(0);
		const pulled = await pulling;
		expect(pulled.end).to.equal('moved');
	});

	it('rejects invalid requests and names the field', async () => {
		const refusals: Array<[path: string, body: unknown, status: number, detail: string]> = [
			['/v1/steps', '{', 400, 'JSON'],
			['/v1/steps', {...order, profile: 'none'}, 400, 'profile'],
			['/v1/steps', {...order, groupSize: 0}, 400, 'groupSize'],
			['/v1/steps', {...order, extra: 1}, 400, 'extra'],
			['/v1/steps', {...order, model: 'none'}, 404, 'model'],
			['/v1/steps', {...order, maxTokens: 5}, 409, 'field id'],
			['/v1/steps/none', undefined, 404, 'none'],
			['/v1/steps/step-1/samples?version=x', undefined, 400, 'version'],
			['/v1/steps/step-1/samples?version=1&after=7', undefined, 400, 'after'],
			['/v1/steps/step-1/acks', {samples: ['step-1/9/9']}, 400, 'step-1/9/9'],
		];
		await send(first.origin, '/v1/steps', order);
		for (const [path, body, status, detail] of refusals) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await send(first.origin, path, body);
			expect(answer.status, path + JSON.stringify(answer.body)).to.equal(status);
			expect(answer.body.detail).to.contain(detail);
			expect(answer.body.ran).to.equal('no');
		}
	});
});

async function waitUntilOwned({origin}: RunningEntry): Promise<void> {
	for (let tries = 0; tries < 200; tries += 1) {
		// eslint-disable-next-line no-await-in-loop
		const {body} = await send(origin, '/v1/steps/step-1');
		if (body.isRecorded === true && body.ready === 4) {
			return;
		}
	}

	throw new Error('the step is not recorded');
}
