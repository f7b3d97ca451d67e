/**
 * A server crashes while it streams answers that have no length. Their requesters must not take what they got for whole answers.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {connect} from 'node:net';
import {fileURLToPath} from 'node:url';
import {Deployment, runCase, wait} from '../lib/deployment.mjs';
import {Store} from '../lib/store.mjs';
import {StreamServer} from '../lib/servers.mjs';
import {host, makeConfiguration, plainService} from '../lib/trainer.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** One of six servers crashes: a share of 0.17. */
const serverCount = 6;
const streamCount = 18;
const crashAfterMs = 400;

const store = new Store();
const deployment = new Deployment(fileURLToPath(new URL('record.txt', import.meta.url)), store);
const {record} = deployment;

/** Asks for a stream on a channel of its own; tells what came, and how the channel ended. */
async function askForStream(gateway, id) {
	const [address, port] = gateway.callers.split(':');
	return new Promise(resolve => {
		const socket = connect({host: address, port: Number(port)});
		let text = '';
		let end = 'closed';
		socket.on('data', bytes => {
			text += bytes.toString();
		});
		socket.on('end', () => {
			end = 'ended';
		});
		socket.on('error', () => {
			end = 'reset';
		});
		socket.on('close', () => {
			const [head, body = ''] = text.split(/\r\n\r\n(?<body>.*)/sv);
			resolve({head, body, end});
		});
		socket.write(`GET /stream7/${id} HTTP/1.1\r\nHost: ${host}\r\nX-Wasabiusher-Attempt-Id: ${id}\r\nX-Wasabiusher-Deadline-Ms: 8000\r\n\r\n`);
	});
}

/** Whether the answer looks complete: by its length or its last chunk, or by the end of its channel if it has neither. */
function looksComplete({head, body, end}) {
	if (/^transfer-encoding: chunked/imv.test(head)) {
		return body.endsWith('0\r\n\r\n');
	}

	const length = /^content-length: (?<length>\d+)/imv.exec(head)?.groups.length;
	return length === undefined ? end === 'ended' : Buffer.byteLength(body) === Number(length);
}

await runCase(deployment, async () => {
	store.put('op', 'config', makeConfiguration(4, {
		routes: {
			streams: {
				name: 'r-stream', host, pathPrefix: '/stream7/', type: 'streaming', timeoutMs: 10_000, goalMs: 400, priority: 2, service: plainService, maxAttempts: 2, resumable: false,
			},
		},
	}));
	await deployment.start({hosts: ['127.0.0.11', '127.0.0.12', '127.0.0.13']});
	const servers = Array.from({length: serverCount}, () => new StreamServer({
		store, service: plainService, zone: 'tomakomai', slots: 6, record,
	}));
	await deployment.addServers(servers);
	await deployment.waitReady();
	await wait(1500);

	const ids = Array.from({length: streamCount}, (_, i) => `5f${String(i).padStart(2, '0')}07be2a35f68c`);
	const asked = ids.map(async (id, i) => ({id, ...await askForStream(deployment.gateways[i % deployment.gateways.length], id)}));
	await wait(crashAfterMs);
	if (hasTrouble) {
		const [victim] = servers.toSorted((a, b) => b.running - a.running);
		record(`server ${victim.id} crashes with ${victim.running} streams open`);
		victim.crash();
	}

	const answers = await Promise.all(asked);
	const broken = [];
	for (const {id, ...answer} of answers) {
		const events = answer.body.split('\n').filter(line => line.startsWith('data: ')).length;
		const isWhole = events === servers[0].count;
		const isSuccess = answer.head.startsWith('HTTP/1.1 200');
		const verdict = looksComplete(answer) ? 'looks complete' : 'is seen to be incomplete';
		record(`requester got for ${id}: ${answer.head.split('\r\n')[0]}, ${events} events, the channel ${answer.end}, the answer ${verdict}`);
		if (isSuccess && !isWhole && looksComplete(answer)) {
			broken.push(`MIXED: the answer to ${id} looks complete with ${events} of ${servers[0].count} events; its server had reset it`);
		}
	}

	return broken;
});
