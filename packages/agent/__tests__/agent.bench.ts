/**
 * Measures streamed tokens and completed calls per second over one link through one agent. The simulated engine, the
 * agent and the other end of the link run in the same process.
 *
 * Run with `npx tsx packages/agent/__tests__/agent.bench.ts`.
 */
import process from 'node:process';
import {maxUnacknowledgedParts, LinkClient, type MessageOf} from '@wasabiusher/link';
import {createSilentLog, Random, type PriorityClass} from '@wasabiusher/shared';
import {EngineServer, PlatformServer} from '@wasabiusher/standins';
import {Agent, agentSettingsSchema} from '../src/index.js';

/** Warm-up and measurement time, in milliseconds. */
const warmUpMs = 1000;
const countMs = 5000;

type Load = {name: string; class: PriorityClass; slots: number; tokenMs: number; open: number; maxTokens: number};

const loads: readonly Load[] = [
	{
		name: 'long streams of rollouts', class: 'rollout', slots: 128, tokenMs: 4, open: 128, maxTokens: 200,
	},
	{
		name: 'long streams of interactive callers', class: 'interactive', slots: 128, tokenMs: 4, open: 128, maxTokens: 200,
	},
	{
		name: 'calls of one token', class: 'interactive', slots: 16, tokenMs: 1, open: 32, maxTokens: 1,
	},
];

function createOpen(request: string, load: Load): MessageOf<'open'> {
	return {
		kind: 'open',
		request,
		attempt: 1,
		work: {kind: 'generate', request: {model: 'trail', prompt: request, maxTokens: load.maxTokens}},
		service: 'models',
		caller: 'bench',
		profile: 'bench',
		class: load.class,
		priority: 5,
		share: 1,
		cost: load.maxTokens,
		remainingMs: 60_000,
		isIdempotent: true,
		fingerprint: 'bench',
		isSuspect: false,
	};
}

class Driver {
	tokens = 0;
	messages = 0;
	calls = 0;
	failures = 0;
	readonly #load: Load;
	readonly #client: LinkClient;
	#count = 0;

	constructor(address: string, load: Load) {
		this.#load = load;
		this.#client = new LinkClient({
			address,
			identity: {name: 'bench', keys: ['loopback']},
			random: new Random(1),
			onUp: () => {
				for (let index = 0; index < load.open; index += 1) {
					this.#open();
				}
			},
			onDown: () => undefined,
			onMessage: message => {
				if (message.kind === 'part') {
					this.#receive(message);
				} else if (message.kind === 'refused' || message.kind === 'failed') {
					this.failures += 1;
					this.#open();
				}
			},
		});
	}

	reset(): void {
		this.tokens = 0;
		this.messages = 0;
		this.calls = 0;
	}

	close(): void {
		this.#client.close();
	}

	#open(): void {
		this.#count += 1;
		this.#client.send(createOpen(`r${this.#count}`, this.#load));
	}

	#receive({request, attempt, sequence, event}: MessageOf<'part'>): void {
		this.messages += 1;
		const isLast = event.kind === 'finished';
		if (event.kind === 'parts') {
			this.tokens += event.parts.reduce((sum, {tokens}) => sum + tokens, 0);
		}

		if (isLast || (sequence + 1) % maxUnacknowledgedParts === 0) {
			this.#client.send({
				kind: 'acknowledge', request, attempt, next: sequence + 1,
			});
		}

		if (isLast) {
			this.calls += 1;
			this.#open();
		}
	}
}

async function wait(waitMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, waitMs);
	});
}

async function run(load: Load): Promise<void> {
	const platform = new PlatformServer();
	const engine = new EngineServer({slots: load.slots, tokenMs: load.tokenMs, models: {trail: 1}});
	const agent = new Agent(agentSettingsSchema.parse({
		name: 'agent', dataCentre: 'here', service: 'models', endpointKind: 'model', endpoint: await engine.start(), platform: await platform.start(), limit: load.slots, maxWaiting: 1000,
	}), createSilentLog());
	await agent.start();
	const driver = new Driver(agent.address, load);
	await wait(warmUpMs);
	driver.reset();
	const cpu = process.cpuUsage();
	await wait(countMs);
	const {user, system} = process.cpuUsage(cpu);
	const perSecond = (count: number) => Math.round(count * 1000 / countMs);
	const cores = ((user + system) / 1000 / countMs).toFixed(2);
	process.stdout.write(`${load.name}: ${perSecond(driver.tokens)} tokens/s, ${perSecond(driver.messages)} messages/s, `
		+ `${perSecond(driver.calls)} calls/s, ${driver.failures} failures, ${cores} cores\n`);
	driver.close();
	await agent.drain();
	await engine.stop();
	await platform.stop();
}

for (const load of loads) {
	// Loads run sequentially.
	// eslint-disable-next-line no-await-in-loop
	await run(load);
}
