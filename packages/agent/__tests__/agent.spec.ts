import {once} from 'node:events';
import {get as httpGet, type IncomingMessage} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {expect} from 'chai';
import {LinkClient, type Message, type MessageOf} from '@wasabiusher/link';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {EngineServer, PlatformServer} from '@wasabiusher/standins';
import {Agent, agentSettingsSchema} from '../src/index.js';

/** The side of an entry that an agent communicates with. */
class FakeEntry {
	readonly received: Message[] = [];
	readonly downs: string[] = [];
	isAcknowledging = true;
	readonly #client: LinkClient;
	#wake: (() => void) | undefined;

	constructor(address: string, name: string) {
		this.#client = new LinkClient({
			address,
			identity: {name, keys: ['loopback']},
			random: new Random(1),
			onUp: () => {
				this.#wake?.();
			},
			onDown: error => {
				this.downs.push(error?.code ?? 'ended');
				this.#wake?.();
			},
			onMessage: message => {
				this.#receive(message);
			},
		});
	}

	get isUp(): boolean {
		return this.#client.isUp;
	}

	send(message: Message): void {
		this.#client.send(message);
	}

	close(): void {
		this.#client.close();
	}

	get<Kind extends Message['kind']>(kind: Kind, test: (message: MessageOf<Kind>) => boolean = () => true): MessageOf<Kind> | undefined {
		return this.received.find(message => message.kind === kind && test(message as MessageOf<Kind>)) as MessageOf<Kind> | undefined;
	}

	/** Waits until the condition holds; checks it after each event rather than by time. */
	async until(holds: () => boolean): Promise<void> {
		while (!holds()) {
			// Events are awaited sequentially.
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	/** Waits until a request is refused, or the link is down. */
	async untilRefused(name: string): Promise<void> {
		await this.until(() => !this.isUp || this.get('refused', ({request}) => request === name) !== undefined);
	}

	acknowledge({request: name, attempt, sequence}: MessageOf<'part'>): void {
		this.send({
			kind: 'acknowledge', request: name, attempt, next: sequence + 1,
		});
	}

	#receive(message: Message): void {
		this.received.push(message);
		if (message.kind === 'part' && this.isAcknowledging) {
			this.acknowledge(message);
		}

		this.#wake?.();
	}
}

function createOpen(name: string, maxTokens: number): MessageOf<'open'> {
	const work = {kind: 'generate', request: {model: 'trail', prompt: name, maxTokens}} as const;
	return {
		kind: 'open',
		request: name,
		attempt: 1,
		work,
		service: 'models',
		caller: 'warden',
		profile: 'ranger',
		class: 'interactive',
		priority: 5,
		share: 1,
		cost: maxTokens,
		remainingMs: 10_000,
		isIdempotent: true,
		fingerprint: name,
		isSuspect: false,
	};
}

function listTexts({received}: FakeEntry, name: string): string[] {
	return received.flatMap(message => message.kind === 'part' && message.request === name && message.event.kind === 'parts'
		? message.event.parts.map(({text}) => text)
		: []);
}

async function get({address}: Agent, path: string): Promise<{status: number; text: string}> {
	const [response] = await once(httpGet(`http://${address}${path}`), 'response') as [IncomingMessage];
	return {status: response.statusCode!, text: await readText(response)};
}

const isFinished = (entry: FakeEntry, name: string) => entry.get('part', ({request: other, event}) => other === name && event.kind === 'finished') !== undefined;

describe('Agent', () => {
	let platform: PlatformServer;
	let engine: EngineServer;
	let agent: Agent;
	let entry: FakeEntry;

	beforeEach(async () => {
		platform = new PlatformServer();
		engine = new EngineServer({
			slots: 4, tokenMs: 1, models: {trail: 3}, restartMs: 1,
		});
		agent = new Agent(agentSettingsSchema.parse({
			name: 'agent-1', dataCentre: 'muroran', service: 'models', endpointKind: 'model', endpoint: await engine.start(), platform: await platform.start(), limit: 4,
		}), createSilentLog());
		await agent.start();
		entry = new FakeEntry(agent.address, 'entry-1');
		await entry.until(() => entry.get('status') !== undefined);
	});

	afterEach(async () => {
		entry.close();
		await agent.drain();
		await engine.stop();
		await platform.stop();
	});

	it('completes an open stream while it drains, refuses new requests, and closes links last', async () => {
		entry.send(createOpen('long', 40));
		await entry.until(() => listTexts(entry, 'long').length > 0);
		const drained = agent.drain();
		entry.send(createOpen('late', 1));
		await entry.until(() => entry.get('refused') !== undefined);
		expect(entry.get('refused')).to.include({request: 'late', reason: 'leaving'});
		expect(entry.get('status', ({status}) => status.isLeaving)).not.to.equal(undefined);
		const {status} = await get(agent, '/readyz');
		expect(status).to.equal(503);
		await drained;
		await entry.until(() => !entry.isUp);
		expect(listTexts(entry, 'long')).to.have.lengthOf(40);
		expect(isFinished(entry, 'long')).to.equal(true);
	});

	it('waits for the acknowledgement of a complete answer while it drains', async () => {
		entry.isAcknowledging = false;
		entry.send(createOpen('a', 2));
		await entry.until(() => isFinished(entry, 'a'));
		let isDrained = false;
		const drained = agent.drain().then(() => {
			isDrained = true;
		});
		// Each request makes a round trip on the link, which must stay open meanwhile.
		for (const late of ['late-1', 'late-2', 'late-3', 'late-4', 'late-5']) {
			entry.send(createOpen(late, 1));
			// eslint-disable-next-line no-await-in-loop
			await entry.untilRefused(late);
		}

		expect(isDrained).to.equal(false);
		expect(entry.isUp).to.equal(true);
		entry.acknowledge(entry.get('part', ({event}) => event.kind === 'finished')!);
		await drained;
	});

	it('reports a crash of the engine for all requests in flight, to each of their entries', async () => {
		const other = new FakeEntry(agent.address, 'entry-2');
		await other.until(() => other.get('status') !== undefined);
		entry.send(createOpen('a', 1000));
		other.send(createOpen('b', 1000));
		await entry.until(() => listTexts(entry, 'a').length > 0);
		await other.until(() => listTexts(other, 'b').length > 0);
		await engine.crash();
		await entry.until(() => entry.get('failed') !== undefined);
		await other.until(() => other.get('failed') !== undefined);
		expect(entry.get('failed')).to.include({request: 'a', ran: 'yes', hasCrashed: true});
		expect(other.get('failed')).to.include({request: 'b', ran: 'yes', hasCrashed: true});
		await entry.until(() => entry.get('suspicions') !== undefined);
		expect(entry.get('suspicions')!.suspicions.map(({fingerprint}) => fingerprint)).to.deep.equal(['a', 'b']);
		other.close();
	});

	it('stops a cancelled request at the engine, and reports when that is confirmed', async () => {
		entry.send(createOpen('a', 1000));
		await entry.until(() => listTexts(entry, 'a').length > 0);
		entry.send({kind: 'cancel', request: 'a', attempt: 1});
		await entry.until(() => entry.get('stopped') !== undefined);
		const made = engine.tokensMade;
		entry.send(createOpen('b', 5));
		await entry.until(() => isFinished(entry, 'b'));
		expect(engine.tokensMade - made, 'tokens of the stopped run').to.equal(5);
	});

	it('reports the version that the engine has rather than the one that was ordered', async () => {
		engine.switches.loadsToFail = 1;
		entry.send({
			kind: 'order', order: 'o1', fence: 1, body: {kind: 'load', model: 'trail', version: 4},
		});
		await entry.until(() => entry.get('ordered') !== undefined);
		expect(entry.get('ordered')).to.include({order: 'o1', outcome: 'failed'});
		entry.send({
			kind: 'order', order: 'o2', fence: 1, body: {kind: 'load', model: 'trail', version: 4},
		});
		await entry.until(() => entry.get('ordered', ({order}) => order === 'o2') !== undefined);
		expect(entry.get('ordered', ({order}) => order === 'o2')).to.include({outcome: 'done'});
		const versions = entry.received.flatMap(message => message.kind === 'status' ? message.status.models.map(({version}) => version) : []);
		expect([...new Set(versions)]).to.deep.equal([3, 4]);
	});

	it('rejects an order under an older fence', async () => {
		for (const [order, fence, version] of [['new', 5, 4], ['old', 4, 9]] as const) {
			entry.send({
				kind: 'order', order, fence, body: {kind: 'load', model: 'trail', version},
			});
		}

		await entry.until(() => entry.get('ordered', ({order}) => order === 'old') !== undefined);
		expect(entry.get('ordered', ({order}) => order === 'old')).to.include({outcome: 'fenced'});
		const {text: metrics} = await get(agent, '/metrics');
		expect(metrics).to.contain('wasabiusher_agent_orders_total{outcome="fenced"} 1');
		expect(metrics).to.contain('wasabiusher_agent_fence 5');
	});

	it('does not start on a non-loopback address without link keys', async () => {
		const open = new Agent(agentSettingsSchema.parse({
			name: 'agent-2', listen: '0.0.0.0:0', dataCentre: 'muroran', service: 'models', endpointKind: 'model', endpoint: 'http://127.0.0.1:9', platform: 'http://127.0.0.1:9',
		}), createSilentLog());
		let error: unknown;
		await open.start().catch((error_: unknown) => {
			error = error_;
		});
		expect(error).to.be.instanceOf(RangeError).with.property('message').that.contains('--link-keys');
	});

	it('announces itself, and announces that it is leaving', async () => {
		const member = {
			id: 'agent-1', role: 'agent', address: agent.address, dataCentre: 'muroran', region: 'local', service: 'models',
		};
		expect(await platform.members.list()).to.deep.include({...member, state: 'live'});
		await agent.drain();
		expect(await platform.members.list()).to.deep.include({...member, state: 'leaving'});
	});

	it('rejects and counts a link with a wrong key', async () => {
		const impostor = new LinkClient({
			address: agent.address, identity: {name: 'entry-1', keys: ['guess']}, random: new Random(1), onUp: () => undefined, onDown: () => undefined, onMessage: () => undefined,
		});
		let metrics = '';
		while (!metrics.includes('link_errors_total{code="unauthorized"}')) {
			// Polls sequentially.
			// eslint-disable-next-line no-await-in-loop
			const {text} = await get(agent, '/metrics');
			metrics = text;
		}

		impostor.close();
		expect(entry.isUp, 'the link of the same name stays').to.equal(true);
	});
});
