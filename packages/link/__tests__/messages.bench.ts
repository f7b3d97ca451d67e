/**
 * Measures the size and the encoding and decoding time of messages, and the throughput of one link on loopback in messages per second, by the
 * number of messages sent in one iteration of the event loop. Run by `npx tsx packages/link/__tests__/messages.bench.ts`.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {Random} from '@wasabiusher/shared';
import {
	decodeMessage, encodeMessage, LinkClient, LinkServer, type Link, type Message,
} from '../src/index.js';

/** Number of times that each message is encoded and decoded; about a tenth of a second each. */
const repeats = 50_000;

/** Number of messages sent over the link in each run. */
const sends = 100_000;

const request = '01890a5d-ac96-774b-bcce-b302099a8057';

function createPart(sequence: number, count: number): Message {
	const parts = Array.from({length: count}, (_, index) => ({text: `t${index} `, tokens: 1, version: 3}));
	return {
		kind: 'part', request, attempt: 1, sequence, event: {kind: 'parts', parts},
	};
}

const samples: Record<string, Message> = {
	ping: {kind: 'ping', sentAt: 1.5},
	acknowledge: {
		kind: 'acknowledge', request, attempt: 1, next: 12,
	},
	'part of 1 token': createPart(12, 1),
	'part of 8 tokens': createPart(12, 8),
	'open with 500 characters': {
		kind: 'open',
		request,
		attempt: 1,
		work: {kind: 'generate', request: {model: 'trail', prompt: 'x'.repeat(500), maxTokens: 100}},
		service: 'models',
		caller: 'hut',
		profile: 'ranger',
		class: 'interactive',
		priority: 5,
		share: 1,
		cost: 100,
		remainingMs: 5000,
		isIdempotent: true,
		fingerprint: 'abcdef',
		isSuspect: false,
	},
	status: {
		kind: 'status',
		status: {
			service: 'models',
			models: [{model: 'trail', version: 3}],
			role: 'any',
			limit: 8,
			running: 3,
			waiting: 0,
			waitingWork: 0,
			workPerSecond: 100,
			isLeaving: false,
			isHealthy: true,
			configurationVersion: 3,
			fence: 1,
		},
	},
};

/** Returns the microseconds per run, measured after a warm-up of a tenth of the runs. */
function measure(run: () => void): number {
	for (let index = 0; index < repeats / 10; index += 1) {
		run();
	}

	const startedAt = performance.now();
	for (let index = 0; index < repeats; index += 1) {
		run();
	}

	return (performance.now() - startedAt) * 1000 / repeats;
}

async function measureSends(perTurn: number): Promise<number> {
	const http = createServer();
	let received = 0;
	let finish: (() => void) | undefined;
	const server = new LinkServer(http, {
		identity: {name: 'agent', keys: ['k']},
		onLink: (_link: Link) => ({
			onMessage() {
				received += 1;
				if (received === sends) {
					finish!();
				}
			},
			onClose: () => undefined,
		}),
		onReject: () => undefined,
	});
	await new Promise<void>(resolve => {
		http.listen(0, '127.0.0.1', resolve);
	});
	let client: LinkClient | undefined;
	await new Promise<void>(resolve => {
		client = new LinkClient({
			address: `127.0.0.1:${(http.address() as AddressInfo).port}`, identity: {name: 'entry', keys: ['k']}, random: new Random(1), onUp() {
				resolve();
			}, onDown: () => undefined, onMessage: () => undefined,
		});
	});
	const done = new Promise<void>(resolve => {
		finish = resolve;
	});
	const startedAt = performance.now();
	for (let sent = 0; sent < sends; sent += perTurn) {
		for (let index = 0; index < perTurn; index += 1) {
			client!.send(createPart(sent + index, 1));
		}

		// Each iteration waits for the previous one.
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	await done;
	const perSecond = sends * 1000 / (performance.now() - startedAt);
	client!.close();
	server.close();
	http.close();
	return perSecond;
}

for (const [name, message] of Object.entries(samples)) {
	const bytes = encodeMessage(message);
	const encodeUs = measure(() => {
		encodeMessage(message);
	});
	const decodeUs = measure(() => {
		decodeMessage(bytes);
	});
	process.stdout.write(`${name}: ${bytes.length} bytes, encode ${encodeUs.toFixed(2)} µs, decode and check ${decodeUs.toFixed(2)} µs\n`);
}

for (const perTurn of [1, 10, 100]) {
	// Each run waits for the previous one, so that they do not disturb each other.
	// eslint-disable-next-line no-await-in-loop
	const perSecond = await measureSends(perTurn);
	process.stdout.write(`link, ${perTurn} messages a turn, both ends in this process: ${Math.round(perSecond)} messages/s\n`);
}
