import type {Socket} from 'node:net';
import {expect} from 'chai';
import {request} from 'undici';
import {HttpServer} from '@wasabiusher/daemon';
import {RawServer} from '@wasabiusher/standins';
import {relayExchange} from '../src/step-relay.js';

const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n';
const body = 'event: sample\ndata: {}\n\n';

/** Ways in which the other entry ends an answer without a length. */
const ends: Readonly<Record<string, {isWhole: boolean; send(socket: Socket): void}>> = {
	'is reset at once': {
		isWhole: false,
		send(socket) {
			socket.write(`${head}\r\n${body}`);
			socket.resetAndDestroy();
		},
	},
	'is reset soon': {
		isWhole: false,
		send(socket) {
			socket.write(`${head}\r\n${body}`);
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		},
	},
	'ends in order': {
		isWhole: true,
		send(socket) {
			socket.end(`${head}\r\n${body}`);
		},
	},
};

describe('relayExchange', () => {
	for (const [way, {isWhole, send}] of Object.entries(ends)) {
		// Guards against a trainer that takes part of its samples for all of them.
		it(`${isWhole ? 'passes on' : 'breaks off'} an answer without a length that ${way}`, async () => {
			const other = new RawServer(socket => {
				send(socket);
			});
			const address = await other.start();
			const server = new HttpServer();
			server.on('get', '/v1/steps/:id/samples', async exchange => {
				await relayExchange(exchange, address, undefined);
			});
			const origin = `http://${await server.listen('127.0.0.1:0')}`;
			const received = await request(new URL('/v1/steps/s/samples', origin)).then(async answer => answer.body.text()).catch(() => 'broken off');
			expect(received).to.equal(isWhole ? body : 'broken off');
			await server.kill();
			await other.stop();
		});
	}
});
