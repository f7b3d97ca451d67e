import type {Socket} from 'node:net';
import {expect} from 'chai';
import {RawServer} from '@wasabiusher/standins';
import {runProgram} from '../src/index.js';

const accepted = '{"version":1,"configuration":{"profiles":{},"services":{}},"acceptedAt":0,"author":"mori"}';
const gateway = JSON.stringify({
	host: 'edge-1', dataCentre: 'z', isReady: true, storeWay: 'direct', lateMs: 0, isHolder: false, shares: 0, waiting: {}, published: {}, endpoints: [],
});

/** Commands that read answers, and the body of an answer that they believe. */
const commands: Readonly<Record<string, {body: string; listArguments(origin: string): string[]}>> = {
	history: {body: `[${accepted}]`, listArguments: origin => ['history', '--entries', origin]},
	burn: {body: '[]', listArguments: origin => ['burn', '--metrics', origin]},
	gateways: {body: gateway, listArguments: origin => ['gateways', '--gateways', origin]},
};

type Answer = {status?: string; line?: string; isCut?: boolean};

const broken: Readonly<Record<string, Answer>> = {
	'the status 000': {status: '000 Odd'},
	'the status 302': {status: '302 Found'},
	'the status 500': {status: '500 Failed'},
	'the status 600': {status: '600 Odd'},
	'a blank in the name of a field': {line: 'X Odd: x'},
	'a control byte in the name of a field': {line: 'X\u0001Odd: x'},
	'a part of the body, without a length, and a reset': {isCut: true},
};

function sendAnswer(socket: Socket, body: string, {status = '200 OK', line, isCut = false}: Answer): void {
	const lines = [`HTTP/1.1 ${status}`, 'Connection: close', ...(line === undefined ? [] : [line]), ...(isCut ? [] : [`Content-Length: ${body.length}`])];
	const head = `${lines.join('\r\n')}\r\n\r\n`;
	if (isCut) {
		// Parts of a JSON document are none themselves, so that a cut shows without a length.
		socket.write(head + body.slice(0, -1));
		socket.resetAndDestroy();
	} else {
		socket.end(head + body, 'latin1');
	}
}

describe('A broken answer to the command line', () => {
	/** Runs a command whose answer the server sends. */
	async function run(name: string, answer: Answer): Promise<{status: number; text: string}> {
		const {body, listArguments} = commands[name]!;
		const server = new RawServer(socket => {
			sendAnswer(socket, body, answer);
		});
		const texts: string[] = [];
		const write = (text: string) => {
			texts.push(text);
		};

		const status = await runProgram({
			argv: listArguments(`http://${await server.start()}`), environment: {}, writeOut: write, writeError: write,
		});
		await server.stop();
		return {status, text: texts.join('\n')};
	}

	for (const name of Object.keys(commands)) {
		it(`differs from a whole one, which is believed: ${name}`, async () => {
			const {status, text} = await run(name, {});
			expect(status, text).to.equal(0);
			expect(text).not.to.match(/no answer|no figures|status \d/v);
		});

		for (const [fault, answer] of Object.entries(broken)) {
			it(`is not believed with ${fault}: ${name}`, async () => {
				const {status, text} = await run(name, answer);
				expect(status, text).to.equal(1);
			});
		}
	}
});
