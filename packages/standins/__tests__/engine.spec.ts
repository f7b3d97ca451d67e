import {expect} from 'chai';
import {
	HttpEngine, PlatformError, type GenerationEvent,
} from '@wasabiusher/backends';
import type {GenerationRequest} from '@wasabiusher/shared';
import {
	blockCharacters, EngineServer, listPrefixes, poisonMarker, type EngineSettings,
} from '../src/index.js';

type Run = {request?: Partial<GenerationRequest>; requestId?: string; priority?: number};

describe('EngineServer', () => {
	const started: EngineServer[] = [];

	async function createEngine(settings: Partial<EngineSettings> = {}, weights?: ConstructorParameters<typeof EngineServer>[1]) {
		const server = new EngineServer({
			slots: 4, tokenMs: 1, models: {trail: 3}, ...settings,
		}, weights);
		started.push(server);
		return {server, engine: new HttpEngine(await server.start())};
	}

	afterEach(async () => {
		await Promise.all(started.splice(0).map(async server => server.stop()));
	});

	function generate(engine: HttpEngine, {request, requestId = 'r', priority = 0}: Run = {}): AsyncIterable<GenerationEvent> {
		return engine.generate({
			model: 'trail', prompt: 'p', maxTokens: 3, ...request,
		}, {requestId, priority, signal: new AbortController().signal});
	}

	async function collect(events: AsyncIterable<GenerationEvent>, onEvent: (event: GenerationEvent) => void | Promise<void> = () => undefined) {
		const parts: Array<[text: string, version: number]> = [];
		for await (const event of events) {
			if (event.kind === 'part') {
				parts.push([event.part.text, event.part.version]);
			}

			await onEvent(event);
		}

		return parts;
	}

	async function catchCode(work: Promise<unknown>): Promise<string> {
		try {
			await work;
		} catch (error) {
			return error instanceof PlatformError ? error.code : String(error);
		}

		return 'none';
	}

	it('sends several tokens per event and stops at the length in the prompt', async () => {
		const {engine} = await createEngine({tokensPerEvent: 2});
		const received: GenerationEvent[] = [];
		const parts = await collect(generate(engine, {request: {prompt: 'tag=x length=5', maxTokens: 9}}), event => {
			received.push(event);
		});
		expect(parts.map(([text]) => text)).to.deep.equal(['t1:x t2:x ', 't3:x t4:x ', 't5:x ']);
		expect(received.at(-1)).to.deep.equal({kind: 'finished', reason: 'stop'});
	});

	it('labels each part with the weight version that generated it, also within an event', async () => {
		const {engine, server} = await createEngine({tokensPerEvent: 50});
		const run = collect(generate(engine, {request: {maxTokens: 40}}));
		await waitUntil(async () => server.tokensMade > 0);
		server.switches.isStalled = true;
		await engine.order({kind: 'load', model: 'trail', version: 4}, 1);
		server.switches.isStalled = false;
		const parts = await run;
		expect(parts.map(([, version]) => version)).to.deep.equal([3, 4]);
		const words = parts.flatMap(([text]) => text.trim().split(' '));
		expect(words).to.have.lengthOf(40);
	});

	it('resumes from a text with its next token', async () => {
		const {engine} = await createEngine();
		const parts = await collect(generate(engine, {request: {resumeFrom: 't1 t2 ', maxTokens: 2}}));
		expect(parts.map(([text]) => text)).to.deep.equal(['t3 ', 't4 ']);
	});

	it('assigns a free slot to the highest priority first', async () => {
		const {engine, server} = await createEngine({slots: 1});
		server.switches.isStalled = true;
		const ended: string[] = [];
		const runs: Array<Promise<unknown>> = [];
		const start = (requestId: string, priority: number) => {
			runs.push(collect(generate(engine, {requestId, priority, request: {maxTokens: 20}})).then(() => ended.push(requestId)));
		};

		start('first', 0);
		await waitUntil(async () => (await count(engine, 'running')) === 1);
		start('low', 1);
		await waitUntil(async () => (await count(engine, 'waiting')) === 1);
		start('high', 2);
		await waitUntil(async () => (await count(engine, 'waiting')) === 2);
		server.switches.isStalled = false;
		await Promise.all(runs);
		expect(ended).to.deep.equal(['first', 'high', 'low']);
	});

	it('confirms a cancelled run and frees its slot', async () => {
		const {engine, server} = await createEngine();
		server.switches.isStalled = true;
		const run = catchCode(collect(generate(engine)));
		await waitUntil(async () => (await count(engine, 'running')) === 1);
		expect(await engine.cancel('r')).to.equal(true);
		expect(await run).to.equal('unknown');
		expect(await engine.cancel('r')).to.equal(false);
		expect(await count(engine, 'running')).to.equal(0);
	});

	it('lists what its cache stored and evicted within its capacity', async () => {
		const {engine} = await createEngine({cacheBlocks: 1});
		const prompts = ['a', 'b'].map(letter => letter.repeat(blockCharacters));
		for (const prompt of prompts) {
			// Requests run in sequence, so that the order of the events is deterministic.
			// eslint-disable-next-line no-await-in-loop
			await collect(generate(engine, {request: {prompt}}));
		}

		const [a, b] = prompts.map(prompt => listPrefixes(prompt)[0]!);
		const events = await engine.listCacheEvents(0);
		expect(events).to.deep.equal([
			{sequence: 1, kind: 'stored', prefix: a}, {sequence: 2, kind: 'stored', prefix: b}, {sequence: 3, kind: 'evicted', prefix: a},
		]);
		expect(await engine.listCacheEvents(2)).to.have.lengthOf(1);
	});

	it('leaves gaps in the sequence numbers where it loses events', async () => {
		const {engine} = await createEngine({cacheEventLoss: 0.5, seed: 2});
		await collect(generate(engine, {request: {prompt: 'x'.repeat(20 * blockCharacters)}}));
		const events = await engine.listCacheEvents(0);
		const sequences = events.map(({sequence}) => sequence);
		expect(sequences.length).to.be.within(1, 19);
		expect(sequences.at(-1)! - sequences[0]! + 1, 'sequence numbers skip').to.be.greaterThan(sequences.length);
	});

	it('refuses an order with an older fence, or accepts it if `honoursFence` is off', async () => {
		const strict = await createEngine();
		await strict.engine.order({kind: 'load', model: 'trail', version: 5}, 9);
		expect(await catchCode(strict.engine.order({kind: 'load', model: 'trail', version: 4}, 8))).to.equal('fenced');
		const lax = await createEngine({honoursFence: false});
		await lax.engine.order({kind: 'load', model: 'trail', version: 5}, 9);
		await lax.engine.order({kind: 'load', model: 'trail', version: 4}, 8);
		expect(await listModels(lax.engine)).to.deep.equal([{model: 'trail', version: 4}]);
	});

	it('keeps the old version active when a swap fails', async () => {
		const {engine, server} = await createEngine();
		server.switches.loadsToFail = 1;
		expect(await catchCode(engine.order({kind: 'load', model: 'trail', version: 4}, 1))).to.equal('refused');
		expect(await listModels(engine)).to.deep.equal([{model: 'trail', version: 3}]);
		await engine.order({kind: 'load', model: 'trail', version: 4}, 1);
		expect(await listModels(engine)).to.deep.equal([{model: 'trail', version: 4}]);
	});

	it('fetches weights from their source before a version becomes active', async () => {
		const fetched: string[] = [];
		const {engine} = await createEngine({}, {
			async fetch(model, version) {
				fetched.push(`${model}@${version}`);
			},
		});
		await engine.order({kind: 'load', model: 'hazard', version: 1}, 1);
		expect(fetched).to.deep.equal(['hazard@1']);
	});

	it('crashes on a poison request, closes all connections and restarts with a new start id', async () => {
		const {engine, server} = await createEngine({restartMs: 1});
		const {startId} = await engine.report();
		await engine.order({kind: 'load', model: 'trail', version: 4}, 1);
		const innocent = catchCode(collect(generate(engine, {requestId: 'innocent', request: {maxTokens: 100_000}})));
		await waitUntil(async () => (await count(engine, 'running')) === 1);
		expect(await catchCode(collect(generate(engine, {request: {prompt: `a ${poisonMarker}`}})))).to.equal('unknown');
		expect(await innocent).to.equal('unknown');
		await waitUntil(async () => isUp(engine));
		const report = await engine.report();
		expect(report.startId).not.to.equal(startId);
		expect(report).to.deep.include({running: 0, models: [{model: 'trail', version: 3}]});
		expect(server.crashes).to.equal(1);
	});

	it('reports load figures with a lag, and its models without', async () => {
		const {engine, server} = await createEngine({reportLagMs: 60_000});
		server.switches.isStalled = true;
		expect(await count(engine, 'running')).to.equal(0);
		const run = catchCode(collect(generate(engine)));
		await engine.order({kind: 'load', model: 'trail', version: 4}, 1);
		const report = await engine.report();
		expect(report.running).to.equal(0);
		expect(report.models).to.deep.equal([{model: 'trail', version: 4}]);
		await engine.cancel('r');
		await run;
	});

	it('skips computing the prompt of a run whose cache was imported', async () => {
		const slow = await createEngine({prefillMs: 60_000});
		const fast = await createEngine();
		fast.server.switches.isStalled = true;
		const prompt = 'x'.repeat(blockCharacters);
		const run = catchCode(collect(generate(fast.engine, {request: {prompt}})));
		await waitUntil(async () => (await count(fast.engine, 'running')) === 1);
		await slow.engine.importCache('r', await fast.engine.exportCache('r'));
		expect(await collect(generate(slow.engine, {request: {prompt}}))).to.have.lengthOf(3);
		await fast.engine.cancel('r');
		await run;
	});
});

async function count(engine: HttpEngine, what: 'running' | 'waiting'): Promise<number> {
	const report = await engine.report();
	return report[what];
}

async function listModels(engine: HttpEngine): Promise<unknown> {
	const {models} = await engine.report();
	return models;
}

async function isUp(engine: HttpEngine): Promise<boolean> {
	return engine.report().then(() => true, () => false);
}

async function waitUntil(test: () => Promise<boolean>): Promise<void> {
	for (let tries = 0; tries < 1000; tries += 1) {
		// Polls in sequence.
		// eslint-disable-next-line no-await-in-loop
		if (await test()) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise<void>(resolve => {
			setTimeout(resolve, 1);
		});
	}

	throw new Error('the expected state was not reached in 1000 polls');
}
